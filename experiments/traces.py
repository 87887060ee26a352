"""Recorded traces as JSON lines: requests, times and stated outcomes."""

import dataclasses
import functools
import json
import pathlib
import random
import typing

import pydantic

FOLDER = pathlib.Path(__file__).parent / "traces"
WORD_CHARACTERS = 4


class Outcomes(pydantic.BaseModel, extra="forbid"):
    """What a replay must reach; times are in seconds.

    ``goodput`` is the least share of requests answered in full; the others
    are the most that may be seen.
    """

    first_token_p95: float
    gap_p95: float
    call_p95: float
    refusal_p99: float = 0.05
    wrong: int = 0
    doubles: int = 0
    lost: int = 0
    gave_up: int = 0
    goodput: float = 1.0


class Header(pydantic.BaseModel, extra="forbid"):
    """First line of a trace."""

    trace: str
    model: str
    service: str
    rules: str
    zones: tuple[str, ...]
    seconds: float
    outcomes: Outcomes


class Item(pydantic.BaseModel, extra="forbid"):
    """One request of a trace, ``at`` seconds after its start.

    A chat's prompt is a document of ``document_tokens`` followed by a
    question; requests that name the same document share its text. ``key``
    is the body of a call.
    """

    at: float
    kind: typing.Literal["chat", "call"]
    workspace: str
    document: str = ""
    document_tokens: int = 0
    question: str = ""
    max_tokens: int = 16
    operation: str = ""
    key: str = ""

    def make_prompt(self) -> str:
        """Return the prompt's text, the same for the same words."""
        return make_document(self.document, self.document_tokens) + (
            self.question
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trace:
    """A header and its requests in order of time."""

    header: Header
    items: tuple[Item, ...]

    def count_least_prefill(self) -> int:
        """Return the tokens to prefill if nothing were computed twice."""
        documents = {}
        questions = 0
        for item in self.items:
            if item.kind != "chat":
                continue
            documents[item.document] = item.document_tokens
            questions += len(item.question) // WORD_CHARACTERS + 1
        return sum(documents.values()) + questions


@functools.lru_cache(maxsize=1024)
def make_document(name: str, tokens: int) -> str:
    """Return a document's text, the same for the same name."""
    source = random.Random(name)
    return "".join(source.choices("abcdefgh", k=tokens * WORD_CHARACTERS))


def read_trace(path: pathlib.Path) -> Trace:
    """Read a trace; a wrong line raises ValueError naming its place."""
    lines = path.read_text(encoding="utf-8").splitlines()
    items = []
    header = None
    for number, line in enumerate(lines, start=1):
        try:
            values = json.loads(line)
            if header is None:
                header = Header.model_validate(values)
                continue
            items.append(Item.model_validate(values))
        except ValueError as error:
            raise ValueError(f"{path.name}:{number}: {error}") from error
    if header is None:
        raise ValueError(f"{path.name}:1: no header")
    return Trace(header=header, items=tuple(items))


def find_trace(name: str) -> pathlib.Path:
    """Return the path of a shipped trace, or of a file."""
    shipped = FOLDER / f"{name}.jsonl"
    return shipped if shipped.exists() else pathlib.Path(name)


def write_trace(trace: Trace, path: pathlib.Path) -> None:
    """Write a trace as JSON lines."""
    rows = [trace.header.model_dump()]
    rows += [item.model_dump(exclude_defaults=True) for item in trace.items]
    text = "".join(json.dumps(row, ensure_ascii=False) + "\n" for row in rows)
    path.write_text(text, encoding="utf-8")
