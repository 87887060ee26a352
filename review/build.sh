#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python modules that
# run on the packages of the deploy file's build: they are only compiled.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps"
python3 -m compileall -q review buckthornhold/standins testbed &&
    python3 -c "import aiohttp, yarl"
