"""Log stories: what hosts' log lines tell of one request.

A line names a request by its id, and the upstream that it went to as
``peer``. Around these stand lines without an id, which say what the host
believed: of that upstream, of the store, of other hosts, of itself.
"""

from collections.abc import Iterable
import dataclasses
import datetime

import pydantic

#: What was written so long before a request's first line, and after its
#: last one, is told with it, in seconds.
BEFORE_SECONDS = 5.0
AFTER_SECONDS = 1.0
#: Steps in which a host tells what it believes of itself and of others.
STEPS_OF_HOSTS = frozenset(
    ("configuration", "store", "pause", "reload", "members", "lease")
)
#: Steps in which it tells what it believes of upstreams.
STEPS_OF_UPSTREAMS = frozenset(("directory", "upstreams"))


class Line(pydantic.BaseModel, frozen=True):
    """One line of a host's log."""

    time: datetime.datetime
    level: str
    host: str
    zone: str = ""
    request_id: str = ""
    step: str = ""
    peer: str = ""
    reason: str = ""
    message: str = ""


@dataclasses.dataclass(kw_only=True)
class Log:
    """Lines of one or more hosts; ``bad`` are places that are no lines."""

    lines: list[Line]
    bad: list[str]


@dataclasses.dataclass(kw_only=True)
class Story:
    """A request's own lines, and those that stand around them, in order."""

    own: list[Line]
    around: list[Line]

    @property
    def lines(self) -> list[Line]:
        """All lines in the order of their times."""
        return sorted([*self.own, *self.around], key=lambda it: it.time)


def read_log(texts: Iterable[tuple[str, str]]) -> Log:
    """Read pairs of a place and its text.

    What a collector has written before a line's first brace is left out.
    Text without a brace is no line of a host and left out, too; what begins
    as one and can't be read is kept in ``bad`` with its place.
    """
    log = Log(lines=[], bad=[])
    for place, text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            log.lines.append(Line.model_validate_json(text[start:]))
        except pydantic.ValidationError as error:
            log.bad.append(f"{place}: {error.errors()[0]['msg']}")
    return log


def tell(log: Log, request_id: str) -> Story:
    """Return what the log tells of a request; empty if it names it not."""
    own = [it for it in log.lines if it.request_id == request_id]
    if not own:
        return Story(own=[], around=[])
    hosts = {it.host for it in own}
    peers = {it.peer for it in own if it.peer}
    since = min(it.time for it in own) - datetime.timedelta(
        seconds=BEFORE_SECONDS
    )
    until = max(it.time for it in own) + datetime.timedelta(
        seconds=AFTER_SECONDS
    )
    around = []
    for line in log.lines:
        if line.request_id or line.host not in hosts:
            continue
        if line.step in STEPS_OF_UPSTREAMS and line.peer in peers:
            # Since when an upstream is listed, or leaves, matters however
            # long ago that was.
            if line.time <= until:
                around.append(line)
            continue
        if line.step in STEPS_OF_HOSTS and since <= line.time <= until:
            around.append(line)
    return Story(own=own, around=around)
