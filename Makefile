VENV ?= .venv
SYSTEM_PYTHON ?= $(shell command -v python3.11 || command -v python3)
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed
PLACES = buckthornhold features testbed measurements experiments

.PHONY: demo test check lint features generate

test: $(STAMP)
	@$(MAKE) --no-print-directory check

check: lint features

lint:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m flake8 $(PLACES)
	$(PYTHON) -m buckthornhold.tools.generate --check
	$(PYTHON) -m testbed.wire_names

features:
	$(PYTHON) -m testbed.run

demo: $(STAMP)
	$(PYTHON) -m buckthornhold.tools.demo

generate: $(STAMP)
	$(PYTHON) -m buckthornhold.tools.generate

$(STAMP): pyproject.toml constraints.txt
	$(SYSTEM_PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check \
		-c constraints.txt -e '.[dev]'
	touch $(STAMP)
