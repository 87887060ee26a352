"""Quarantines: requests that crash each upstream that runs them.

When an upstream crashes, all that ran on it is suspected. Suspects are run
again apart from each other; one that gets further than where it stood when
the upstream crashed is cleared, and one that crashes a second upstream at
the same place is refused from then on.
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
#: Tokens by which two runs may seem apart that stopped at the same place.
POSITION_SLACK_TOKENS = 4
#: So many upstreams of a zone lost within the window are a failure of the
#: zone, which no request has caused. It is shorter than a suspect's way from
#: one crash to the next, so that a chain of crashes is not taken for one.
MIN_ZONE_LOSS_UPSTREAMS = 3
ZONE_LOSS_WINDOW_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspect:
    """One attempt that was running on an upstream when it crashed.

    ``start`` and ``position`` are offsets in the answer, where the attempt
    began and where the crash found it. ``known`` names the crashes after
    which this request was under suspicion when the attempt began.
    """

    fingerprint: str
    version: str
    start: int
    position: int
    known: tuple[str, ...] = ()

    @property
    def progressed(self) -> bool:
        """Whether the attempt had yielded a token."""
        return self.position > self.start


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """One incarnation of an upstream that crashed, as one host saw it.

    ``time`` is in seconds since the epoch on that host's clock.
    """

    upstream: str
    zone: str
    host: str
    time: float
    suspects: tuple[Suspect, ...]

    def make_fact(self, *, expires: float) -> facts.Fact:
        """Return the fact that spreads; more suspects make it higher."""
        return facts.Fact(
            key=f"{CRASH_PREFIX}{self.upstream}/{self.host}",
            rank=(len(self.suspects),),
            value=json.dumps(dataclasses.asdict(self)),
            expires=expires,
        )


def make_crash_key(key: str, host: str) -> str:
    """Return the key of a host's own fact on the crash that a key names.

    It is empty for a key of another kind.
    """
    if not key.startswith(CRASH_PREFIX):
        return ""
    return f"{key.rpartition('/')[0]}/{host}"


def load_crash(fact: facts.Fact) -> Crash:
    """Read a crash from its fact."""
    values = json.loads(fact.value)
    suspects = tuple(
        Suspect(**{**item, "known": tuple(item["known"])})
        for item in values.pop("suspects")
    )
    return Crash(**values, suspects=suspects)


def make_fingerprint(model: str, prompt: str) -> str:
    """Return what equal requests have in common under any id."""
    text = f"{model}\0{prompt}".encode()
    return hashlib.blake2b(text, digest_size=12).hexdigest()


class PoisonDetector:
    """Judges suspects by the facts on crashes that the fleet has gathered.

    ``publish`` gives a fact to this process and spreads it.
    """

    def __init__(
        self,
        *,
        known: facts.FactStore,
        publish: Callable[[facts.Fact], None],
        crash_retention: float,
        poison_retention: float,
        read_time: Callable[[], float] = time.time,
    ) -> None:
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
        """Take in a fact on a crash."""
        if not fact.key.startswith(CRASH_PREFIX):
            return
        crash = load_crash(fact)
        self._crashes.setdefault(crash.upstream, {})[crash.host] = crash
        self._times.setdefault(crash.upstream, crash.time)
        self._zones[crash.upstream] = crash.zone
        for suspect in crash.suspects:
            strikes = self._suspected_crashes.setdefault(
                suspect.fingerprint, set()
            )
            strikes.add(crash.upstream)

    def prune(self) -> None:
        """Forget the crashes whose facts have expired."""
        limit = self._read_time() - self._crash_retention
        for upstream, moment in list(self._times.items()):
            if moment >= limit:
                continue
            del self._times[upstream]
            del self._zones[upstream]
            for crash in self._crashes.pop(upstream).values():
                for suspect in crash.suspects:
                    self._remove_suspected_crash(suspect.fingerprint, upstream)

    def publish_crash(self, crash: Crash) -> None:
        """Spread what this host has seen of a crash."""
        self._publish(
            crash.make_fact(expires=crash.time + self._crash_retention)
        )

    def find_poison_reason(self, fingerprint: str) -> str:
        """Return why a request is refused, or nothing."""
        fact = self._facts.find(f"{POISON_PREFIX}{fingerprint}")
        return fact.value if fact else ""

    def list_poison_facts(self) -> list[facts.Fact]:
        """Return the facts on requests that are refused."""
        return self._facts.list_all(POISON_PREFIX)

    def list_suspected_crashes(self, fingerprint: str) -> list[str]:
        """Return the crashes for which a request is still suspected."""
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
        """Return all that ran on an upstream when it crashed."""
        return [
            suspect
            for crash in self._crashes.get(upstream, {}).values()
            for suspect in crash.suspects
        ]

    def list_isolated_crashes(self) -> list[str]:
        """Return the crashed upstreams, but for those of a lost zone."""
        return [
            upstream
            for upstream in self._crashes
            if not self._was_zone_lost(upstream)
        ]

    def has_crashed(self, upstream: str) -> bool:
        """Tell whether some host has seen an upstream crash."""
        return upstream in self._crashes

    def list_crashed_upstreams(self) -> list[str]:
        """Return the upstreams that some host has seen crash."""
        return list(self._crashes)

    def find_zone(self, upstream: str) -> str:
        """Return the availability zone of a crashed upstream."""
        return self._zones[upstream]

    def find_time(self, upstream: str) -> float:
        """Return when an upstream crashed, in seconds since the epoch."""
        return self._times[upstream]

    def has_uncleared_suspect(self, upstream: str) -> bool:
        """Tell whether a crash is put down to a request, or may yet be."""
        return any(
            not self._is_cleared(suspect.fingerprint, upstream)
            for suspect in self.list_suspects(upstream)
        )

    def clear(self, fingerprint: str, position: int) -> bool:
        """Clear a request of the crashes that it has got beyond."""
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
        """Judge a request; one that is found to crash upstreams is refused.

        ``ran_before`` tells whether an equal request is known to have run.
        """
        if self.find_poison_reason(fingerprint):
            return True
        pair = self._find_repeated_crashes(fingerprint, ran_before)
        if pair is None:
            return False
        self._publish(
            facts.Fact(
                key=f"{POISON_PREFIX}{fingerprint}",
                rank=(1,),
                value=f"crashed {pair[0]} and {pair[1]}",
                expires=self._read_time() + self._poison_retention,
            )
        )
        return True

    def _find_repeated_crashes(
        self, fingerprint: str, ran_before: bool
    ) -> tuple[str, str] | None:
        strikes = {
            upstream: [
                suspect
                for suspect in self.list_suspects(upstream)
                if suspect.fingerprint == fingerprint
            ]
            for upstream in self.list_suspected_crashes(fingerprint)
        }
        for first, earlier in strikes.items():
            for second, later in strikes.items():
                if first == second:
                    continue
                for one in earlier:
                    for other in later:
                        if not _is_repeated(
                            first, one, other, ran_before=ran_before
                        ):
                            continue
                        if self._is_likeliest(second, one, other):
                            return (first, second)
        return None

    def _is_likeliest(
        self, upstream: str, earlier: Suspect, suspect: Suspect
    ) -> bool:
        """Tell whether no other repeated suspect is as likely a cause."""
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
        """Tell whether a suspect may have caused an earlier crash too.

        One that has got beyond where an earlier crash found it did not
        cause that one, whether the news of it has come yet or not.
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
        """Tell whether a suspect had yielded tokens in an earlier crash."""
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
        """Tell whether a crash is put down to a request that is refused."""
        return any(
            self.find_poison_reason(suspect.fingerprint)
            for suspect in self.list_suspects(upstream)
        )

    def _is_zone_loss_exempt(self, fingerprint: str, upstream: str) -> bool:
        """Tell whether a lost zone excuses one that was not on trial."""
        return self._was_zone_lost(upstream) and not any(
            suspect.known
            for suspect in self.list_suspects(upstream)
            if suspect.fingerprint == fingerprint
        )

    def _was_zone_lost(self, upstream: str) -> bool:
        zone, moment = self._zones[upstream], self._times[upstream]
        lost = [
            other
            for other, other_zone in self._zones.items()
            if other_zone == zone
            and abs(self._times[other] - moment) <= ZONE_LOSS_WINDOW_SECONDS
        ]
        return len(lost) >= MIN_ZONE_LOSS_UPSTREAMS

    def _remove_suspected_crash(self, fingerprint: str, upstream: str) -> None:
        strikes = self._suspected_crashes.get(fingerprint, set())
        strikes.discard(upstream)
        if not strikes:
            self._suspected_crashes.pop(fingerprint, None)


def _is_repeated(
    first: str, one: Suspect, other: Suspect, *, ran_before: bool
) -> bool:
    """Tell whether two crashes show the same request as their cause."""
    if first in other.known:
        if other.position - other.start <= POSITION_SLACK_TOKENS:
            return True
        return abs(other.position - one.position) <= POSITION_SLACK_TOKENS
    both_at_start = not one.position and not other.position
    return both_at_start and not ran_before
