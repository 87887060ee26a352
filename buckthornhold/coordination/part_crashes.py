"""Crashes of upstreams with the parts of the prompts that were unanswered."""

import dataclasses
import json

from buckthornhold.coordination import facts
from buckthornhold.coordination import poison_detectors

CRASH_PREFIX = "part-crashes/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartSuspect:
    """A request whose answer had not begun when its upstream crashed.

    ``content`` is equal for equal requests, ``parts`` are the parts of its
    prompt that other requests may share.
    """

    content: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartCrash:
    """The crash of one incarnation of an upstream, as one host observed it.

    ``time`` is in seconds since the epoch on that host's clock.
    """

    upstream: str
    host: str
    time: float
    suspects: tuple[PartSuspect, ...]

    def make_fact(self, *, expires: float) -> facts.Fact:
        """Return the fact to publish."""
        return poison_detectors.make_crash_fact(
            CRASH_PREFIX, self, expires=expires
        )


def load_crash(fact: facts.Fact) -> PartCrash:
    """Parse a crash from its fact; raises ``facts.PARSE_ERRORS``."""
    values = json.loads(fact.value)
    return PartCrash(
        upstream=str(values["upstream"]),
        host=str(values["host"]),
        time=float(values["time"]),
        suspects=tuple(
            PartSuspect(
                content=str(fields["content"]),
                parts=tuple(str(part) for part in fields["parts"]),
            )
            for fields in values["suspects"]
        ),
    )
