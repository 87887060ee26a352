"""Withdrawals of versions, which only an operator's new rule lifts."""

import dataclasses
import hashlib
import json

from buckthornhold.coordination import facts

PREFIX = "withdrawn/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """A version that receives no more requests.

    ``revision`` is the rules revision under which it was withdrawn, ``lines``
    are the digests of that revision's lines that name the version. A newer
    revision with a different line that names the version lifts it. ``time``
    is in seconds since the epoch.
    """

    model: str
    version: str
    reason: str
    host: str
    revision: int
    lines: tuple[str, ...]
    time: float

    def is_lifted(self, *, revision: int, lines: tuple[str, ...]) -> bool:
        """Tell whether a rules revision lifts the withdrawal."""
        if revision <= self.revision:
            return False
        return any(line not in self.lines for line in lines)

    def make_fact(self) -> facts.Fact:
        """Return the fact to publish; a newer revision's fact supersedes."""
        return facts.Fact(
            key=make_key(self.model, self.version),
            rank=(self.revision,),
            value=json.dumps(dataclasses.asdict(self)),
        )


def make_key(model: str, version: str) -> str:
    """Return the key of a version's withdrawal, as a fact and in the store."""
    return f"{PREFIX}{model}/{version}"


def load_withdrawal(fact: facts.Fact) -> Withdrawal:
    """Parse a withdrawal from its fact."""
    values = json.loads(fact.value)
    return Withdrawal(**{**values, "lines": tuple(values["lines"])})


def digest_line(text: str) -> str:
    """Return the digest of a rule line including its comment."""
    return hashlib.blake2b(text.encode(), digest_size=6).hexdigest()
