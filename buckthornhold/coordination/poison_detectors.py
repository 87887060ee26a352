"""Detection of poison requests, which crash each upstream that runs them.

When an upstream crashes, every request that was running on it is a suspect.
Suspects are retried in isolation from each other. A suspect that progresses
beyond its position at the crash is cleared. One that crashes a second upstream
at the same position is refused from then on.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import json
import time

from buckthornhold.coordination import facts

CRASH_PREFIX = "crashes/"
CLEARED_PREFIX = "cleared/"
POISON_PREFIX = "poison/"
#: Difference in tokens up to which two positions count as the same.
POSITION_SLACK_TOKENS = 4
#: Upstreams of one zone that are lost within the window make a zone failure,
#: which no request has caused. The window is shorter than the time a suspect
#: needs to be retried, so a chain of crashes isn't taken for a zone failure.
MIN_ZONE_LOSS_UPSTREAMS = 3
ZONE_LOSS_WINDOW_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspect:
    """An attempt that was running on an upstream when it crashed.

    ``start`` and ``position`` are offsets in the answer: where the attempt
    began and what it had reached at the crash. ``known`` lists the earlier
    crashes for which its request was a suspect when the attempt began.
    """

    fingerprint: str
    version: str
    start: int
    position: int
    known: tuple[str, ...] = ()

    @property
    def progressed(self) -> bool:
        """Whether the attempt had produced a token."""
        return self.position > self.start


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """The crash of one incarnation of an upstream, as one host observed it.

    ``time`` is in seconds since the epoch on that host's clock.
    """

    upstream: str
    zone: str
    host: str
    time: float
    suspects: tuple[Suspect, ...]

    def make_fact(self, *, expires: float) -> facts.Fact:
        """Return the fact to publish."""
        return make_crash_fact(CRASH_PREFIX, self, expires=expires)


def make_crash_fact(prefix: str, crash, *, expires: float) -> facts.Fact:
    """Return the fact on a crash; one with more suspects supersedes.

    ``crash`` is a data class with upstream, host and suspects.
    """
    return facts.Fact(
        key=f"{prefix}{crash.upstream}/{crash.host}",
        rank=(len(crash.suspects),),
        value=json.dumps(dataclasses.asdict(crash)),
        expires=expires,
    )


def make_crash_key(key: str, host: str) -> str:
    """Return the key of a host's fact on the same crash as ``key``.

    Returns an empty string if ``key`` isn't that of a crash.
    """
    if not key.startswith(CRASH_PREFIX):
        return ""
    return f"{key.rpartition('/')[0]}/{host}"


def load_crash(fact: facts.Fact) -> Crash:
    """Parse a crash from its fact."""
    values = json.loads(fact.value)
    suspects = tuple(
        Suspect(**{**fields, "known": tuple(fields["known"])})
        for fields in values.pop("suspects")
    )
    return Crash(**values, suspects=suspects)


def make_fingerprint(model: str, prompt: str) -> str:
    """Return a digest that equal requests share, whatever their ids."""
    text = f"{model}\0{prompt}".encode()
    return hashlib.blake2b(text, digest_size=12).hexdigest()


class PoisonDetector:
    """Clears suspects or detects them as poison, from the fleet's facts.

    ``publish`` applies a fact in this process and sends it to the fleet.
    ``is_explained`` tells whether a crash has a known cause other than a
    single request.
    """

    def __init__(
        self,
        *,
        known: facts.FactStore,
        publish: Callable[[facts.Fact], None],
        crash_retention: float,
        poison_retention: float,
        read_time: Callable[[], float] = time.time,
        is_explained: Callable[[str], bool] = lambda upstream: False,
    ) -> None:
        self._is_explained = is_explained
        self._facts = known
        self._publish = publish
        self._crash_retention = crash_retention
        self._poison_retention = poison_retention
        self._read_time = read_time
        self._crashes: dict[str, dict[str, Crash]] = {}
        self._times: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._suspected_crashes: dict[str, set[str]] = {}

    def apply_fact(self, fact: facts.Fact) -> None:
        """Apply a fact on a crash; ignore any other fact."""
        if not fact.key.startswith(CRASH_PREFIX):
            return
        crash = load_crash(fact)
        self._crashes.setdefault(crash.upstream, {})[crash.host] = crash
        self._times.setdefault(crash.upstream, crash.time)
        self._zones[crash.upstream] = crash.zone
        for suspect in crash.suspects:
            crashed = self._suspected_crashes.setdefault(
                suspect.fingerprint, set()
            )
            crashed.add(crash.upstream)

    def prune(self) -> None:
        """Remove the crashes whose facts have expired."""
        limit = self._read_time() - self._crash_retention
        for upstream, crash_time in list(self._times.items()):
            if crash_time >= limit:
                continue
            del self._times[upstream]
            del self._zones[upstream]
            for crash in self._crashes.pop(upstream).values():
                for suspect in crash.suspects:
                    self._remove_suspected_crash(suspect.fingerprint, upstream)

    def publish_crash(self, crash: Crash) -> None:
        """Publish this host's observation of a crash."""
        self._publish(
            crash.make_fact(expires=crash.time + self._crash_retention)
        )

    def find_poison_reason(self, fingerprint: str) -> str:
        """Return why a request is refused, or an empty string."""
        fact = self._facts.find(f"{POISON_PREFIX}{fingerprint}")
        return fact.value if fact else ""

    def list_poison_facts(self) -> list[facts.Fact]:
        """Return the facts on poison requests."""
        return self._facts.list_all(POISON_PREFIX)

    def list_suspected_crashes(self, fingerprint: str) -> list[str]:
        """Return the crashes for which a request is still a suspect."""
        return [
            upstream
            for upstream in sorted(
                self._suspected_crashes.get(fingerprint, ())
            )
            if not self._is_cleared(fingerprint, upstream)
            and not self._is_zone_loss_exempt(fingerprint, upstream)
            and not self._is_attributed(upstream)
        ]

    def list_suspects(self, upstream: str) -> list[Suspect]:
        """Return all attempts that ran on an upstream when it crashed."""
        return [
            suspect
            for crash in self._crashes.get(upstream, {}).values()
            for suspect in crash.suspects
        ]

    def list_isolated_crashes(self) -> list[str]:
        """Return the crashed upstreams, except those of a zone failure."""
        return [
            upstream
            for upstream in self._crashes
            if not self._was_zone_lost(upstream)
        ]

    def has_crashed(self, upstream: str) -> bool:
        """Tell whether any host has observed an upstream's crash."""
        return upstream in self._crashes

    def list_crashed_upstreams(self) -> list[str]:
        """Return the upstreams of which any host has observed a crash."""
        return list(self._crashes)

    def find_zone(self, upstream: str) -> str:
        """Return the availability zone of a crashed upstream."""
        return self._zones[upstream]

    def find_time(self, upstream: str) -> float:
        """Return when an upstream crashed, in seconds since the epoch."""
        return self._times[upstream]

    def has_uncleared_suspect(self, upstream: str) -> bool:
        """Tell whether a request has caused a crash, or may have."""
        return any(
            not self._is_cleared(suspect.fingerprint, upstream)
            for suspect in self.list_suspects(upstream)
        )

    def clear(self, fingerprint: str, position: int) -> bool:
        """Clear a request of the crashes beyond which it has progressed."""
        cleared = False
        for upstream in self.list_suspected_crashes(fingerprint):
            crashed_at = max(
                suspect.position
                for suspect in self.list_suspects(upstream)
                if suspect.fingerprint == fingerprint
            )
            if crashed_at and position <= crashed_at + POSITION_SLACK_TOKENS:
                continue
            cleared = True
            self._publish(
                facts.Fact(
                    key=f"{CLEARED_PREFIX}{fingerprint}/{upstream}",
                    rank=(1,),
                    value="",
                    expires=self._read_time() + self._crash_retention,
                )
            )
        return cleared

    def detect_poison(self, fingerprint: str, *, ran_before: bool) -> bool:
        """Tell whether a request is poison; publish it if newly detected.

        ``ran_before`` tells whether an equal request is known to have run.
        """
        if self.find_poison_reason(fingerprint):
            return True
        crashes = self._find_repeated_crashes(fingerprint, ran_before)
        if crashes is None:
            return False
        self._publish(
            facts.Fact(
                key=f"{POISON_PREFIX}{fingerprint}",
                rank=(1,),
                value=f"crashed {crashes[0]} and {crashes[1]}",
                expires=self._read_time() + self._poison_retention,
            )
        )
        return True

    def _find_repeated_crashes(
        self, fingerprint: str, ran_before: bool
    ) -> tuple[str, str] | None:
        suspects = {
            upstream: [
                suspect
                for suspect in self.list_suspects(upstream)
                if suspect.fingerprint == fingerprint
            ]
            for upstream in self.list_suspected_crashes(fingerprint)
        }
        for first, earlier in suspects.items():
            for second, later in suspects.items():
                if first == second:
                    continue
                for before in earlier:
                    for after in later:
                        if not _is_repeated(
                            first, before, after, ran_before=ran_before
                        ):
                            continue
                        if self._is_likeliest(second, before, after):
                            return (first, second)
        return None

    def _is_likeliest(
        self, upstream: str, earlier: Suspect, suspect: Suspect
    ) -> bool:
        """Tell whether no other suspect is an equally likely cause."""
        for other in self.list_suspects(upstream):
            if other.fingerprint == suspect.fingerprint:
                continue
            if self._is_cleared(other.fingerprint, upstream):
                continue
            if not self._may_repeat(other):
                continue
            if earlier.progressed or not self._has_progressed(other):
                return False
        return True

    def _may_repeat(self, suspect: Suspect) -> bool:
        """Tell whether a suspect may have caused an earlier crash, too.

        A suspect that has progressed beyond its position at an earlier crash
        did not cause that crash, even if the fact that clears it has not
        arrived yet.
        """
        for upstream in suspect.known:
            if self._is_cleared(suspect.fingerprint, upstream):
                continue
            for earlier in self.list_suspects(upstream):
                if earlier.fingerprint != suspect.fingerprint:
                    continue
                if _is_repeated(upstream, earlier, suspect, ran_before=True):
                    return True
        return False

    def _has_progressed(self, suspect: Suspect) -> bool:
        """Tell whether a suspect had produced tokens at an earlier crash."""
        return any(
            earlier.progressed
            for upstream in suspect.known
            for earlier in self.list_suspects(upstream)
            if earlier.fingerprint == suspect.fingerprint
        )

    def _is_cleared(self, fingerprint: str, upstream: str) -> bool:
        key = f"{CLEARED_PREFIX}{fingerprint}/{upstream}"
        return self._facts.find(key) is not None

    def _is_attributed(self, upstream: str) -> bool:
        """Tell whether a crash is attributed to a poison request or part."""
        return self._is_explained(upstream) or any(
            self.find_poison_reason(suspect.fingerprint)
            for suspect in self.list_suspects(upstream)
        )

    def _is_zone_loss_exempt(self, fingerprint: str, upstream: str) -> bool:
        """Tell whether a zone failure exempts a request from suspicion.

        A request that was already a suspect when it was sent isn't exempt.
        """
        return self._was_zone_lost(upstream) and not any(
            suspect.known
            for suspect in self.list_suspects(upstream)
            if suspect.fingerprint == fingerprint
        )

    def _was_zone_lost(self, upstream: str) -> bool:
        zone, crash_time = self._zones[upstream], self._times[upstream]
        lost = [
            other
            for other, other_zone in self._zones.items()
            if other_zone == zone
            and abs(self._times[other] - crash_time)
            <= ZONE_LOSS_WINDOW_SECONDS
        ]
        return len(lost) >= MIN_ZONE_LOSS_UPSTREAMS

    def _remove_suspected_crash(self, fingerprint: str, upstream: str) -> None:
        crashed = self._suspected_crashes.get(fingerprint, set())
        crashed.discard(upstream)
        if not crashed:
            self._suspected_crashes.pop(fingerprint, None)


def _is_repeated(
    first: str, before: Suspect, after: Suspect, *, ran_before: bool
) -> bool:
    """Tell whether two crashes point to the same request as their cause."""
    if first in after.known:
        if after.position - after.start <= POSITION_SLACK_TOKENS:
            return True
        return abs(after.position - before.position) <= POSITION_SLACK_TOKENS
    both_at_start = not before.position and not after.position
    return both_at_start and not ran_before
