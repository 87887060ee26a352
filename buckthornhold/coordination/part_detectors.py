"""Detection of parts of prompts that crash each upstream that answers them.

Requests that share such a part are no copies of each other, so no single one
of them is seen to crash two upstreams. Every part of a request whose answer
had not begun when its upstream crashed is a suspect. A part is refused once
several crashes with different requests have it in common, and it has not been
part of any answer that began meanwhile. Parts that were in the same crashes
can't be told apart; prompts that have all of them are refused.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import enum
import math
import time

from buckthornhold.coordination import facts
from buckthornhold.coordination import part_crashes
from buckthornhold.coordination import poison_detectors

CLEARED_PREFIX = "part-cleared/"
#: Parts are refused by facts of the same kind as whole requests are, which
#: are kept in the store.
POISON_PREFIX = f"{poison_detectors.POISON_PREFIX}part-"
#: Crashes that a part needs to be refused: where an answer with it began
#: shortly before the first of them, and where none did or it isn't known.
MIN_CRASHES = 2
MIN_CRASHES_AFTER_ANSWERS = 4
#: Limit on the parts that are refused together; their names make a key.
MAX_GROUP_PARTS = 6
GROUP_SEPARATOR = "+"
#: Crashes within this time count once: upstreams that fail together have
#: another cause than a request.
CORRELATED_CRASHES_SECONDS = 0.25
#: An answer that began this long before a crash still speaks for its parts.
RECENT_ANSWER_SECONDS = 10.0
#: Time after a crash in which the hosts' reports and clearances arrive. No
#: part is judged before.
SETTLE_SECONDS = 0.2
#: Number of parts whose last answer is kept.
MAX_ANSWERED_PARTS = 4096


class Clearance(enum.IntEnum):
    """When an answer with a suspected part has begun."""

    NONE = 0
    BEFORE_CRASH = 1
    AFTER_CRASH = 2


class PartDetector:
    """Clears suspected parts or finds them to be poison, from all facts.

    ``publish`` applies a fact in this process and sends it to the fleet.
    ``read_time`` returns seconds since the epoch, ``read_clock`` seconds on a
    monotonic clock.
    """

    def __init__(
        self,
        *,
        known: facts.FactStore,
        publish: Callable[[facts.Fact], None],
        crash_retention: float,
        poison_retention: float,
        read_time: Callable[[], float],
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._facts = known
        self._publish = publish
        self._crash_retention = crash_retention
        self._poison_retention = poison_retention
        self._read_time = read_time
        self._read_clock = read_clock
        #: When an answer with each part last began, on the monotonic clock.
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        #: When an answer with any parts last began, on the same clock.
        self._last_answer_at = -math.inf
        #: When this host received each crash, on the monotonic clock.
        self._received_at: dict[str, float] = {}
        #: When each crash happened, by its reporter's clock.
        self._times: dict[str, float] = {}
        #: For each crash the requests by each of their parts.
        self._contents: dict[str, dict[str, set[str]]] = {}
        #: The crashes of each part after which no answer with it has begun.
        self._crashes: dict[str, set[str]] = {}
        #: The crashes after which other hosts have seen answers begin.
        self._survived: set[str] = set()
        #: The refused groups of parts that each crash is explained by.
        self._causes: dict[str, set[frozenset[str]]] = {}
        #: The refused groups by one of their parts.
        self._refused: dict[str, set[frozenset[str]]] = {}

    def apply_fact(self, fact: facts.Fact) -> part_crashes.PartCrash | None:
        """Apply a fact; return it if it is a crash.

        Raises ``facts.PARSE_ERRORS``.
        """
        if fact.key.startswith(CLEARED_PREFIX):
            part, _, upstream = fact.key[len(CLEARED_PREFIX) :].partition("/")
            if fact.rank >= (Clearance.AFTER_CRASH,):
                self._survived.add(upstream)
                self._remove_crash(part, upstream)
        elif fact.key.startswith(POISON_PREFIX):
            names = fact.key[len(POISON_PREFIX) :].split(GROUP_SEPARATOR)
            self._add_refused(frozenset(names))
        elif fact.key.startswith(part_crashes.CRASH_PREFIX):
            crash = part_crashes.load_crash(fact)
            self._add_crash(crash)
            return crash
        return None

    def prune(self) -> None:
        """Remove the crashes whose facts have expired."""
        limit = self._read_time() - self._crash_retention
        for upstream, crash_time in list(self._times.items()):
            if crash_time >= limit:
                continue
            del self._times[upstream]
            del self._received_at[upstream]
            self._causes.pop(upstream, None)
            self._survived.discard(upstream)
            for part in self._contents.pop(upstream):
                self._remove_crash(part, upstream)

    def publish_crash(self, crash: part_crashes.PartCrash) -> None:
        """Publish this host's observation of a crash."""
        self._publish(
            crash.make_fact(expires=crash.time + self._crash_retention)
        )

    def find_poison_reason(self, parts: Collection[str]) -> str:
        """Return why a prompt with these parts is refused, else ""."""
        for part in parts:
            for group in self._refused.get(part, ()):
                if not group <= set(parts):
                    continue
                fact = self._facts.find(make_poison_key(group))
                if fact is not None:
                    return fact.value
        return ""

    def list_crashes(
        self, part: str, clearance: Clearance = Clearance.NONE
    ) -> list[str]:
        """Return the crashes of which a part is suspected, in order.

        Those after which it was cleared by more than ``clearance`` are left
        out, as are those that another part explains.
        """
        found = [
            upstream
            for upstream in self._crashes.get(part, ())
            if self._find_clearance(part, upstream) <= clearance
            and not self._is_explained_without(part, upstream)
        ]
        return sorted(found, key=lambda upstream: self._times[upstream])

    def is_explained(self, upstream: str) -> bool:
        """Tell whether a refused part was running when an upstream crashed."""
        return upstream in self._causes

    def needs_clearance(self, part: str) -> bool:
        """Tell whether a part is close to being refused.

        Hosts publish what clears a part only then: most suspects are common
        parts that are never suspected twice.
        """
        if len(self._crashes.get(part, ())) < MIN_CRASHES:
            return False
        suspected = self.list_crashes(part, Clearance.BEFORE_CRASH)
        return len(suspected) >= MIN_CRASHES

    def record_answer(self, parts: Iterable[str], answered_at: float) -> None:
        """Record that an answer to a request with these parts has begun.

        ``answered_at`` is on the monotonic clock.
        """
        for part in parts:
            self._last_answer_at = max(answered_at, self._last_answer_at)
            self._answered_at[part] = max(
                answered_at, self._answered_at.get(part, 0.0)
            )
            self._answered_at.move_to_end(part)
            if self.needs_clearance(part):
                self.publish_clearance(part)
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)

    def list_clearable(self, crash: part_crashes.PartCrash) -> set[str]:
        """Return the parts of a crash for which this host's answers speak."""
        parts = {part for suspect in crash.suspects for part in suspect.parts}
        return {
            part
            for part in parts & self._answered_at.keys()
            if self.needs_clearance(part)
        }

    def publish_clearance(self, part: str) -> None:
        """Clear a part of the crashes that this host's answers refute."""
        answered_at = self._answered_at[part]
        for upstream in self.list_crashes(part, Clearance.BEFORE_CRASH):
            received_at = self._received_at[upstream]
            if answered_at > received_at:
                self._clear(part, upstream, Clearance.AFTER_CRASH)
            elif answered_at > received_at - RECENT_ANSWER_SECONDS:
                self._clear(part, upstream, Clearance.BEFORE_CRASH)

    def find_settled_time(self, part: str) -> float:
        """Return when a part may be judged, on the monotonic clock."""
        received_at = [
            self._received_at[upstream] for upstream in self.list_crashes(part)
        ]
        return max(received_at, default=0.0) + SETTLE_SECONDS

    def detect_poison(self, part: str) -> bool:
        """Tell whether a part is poison; publish it if newly detected.

        It is published with the parts that can't be told apart from it.
        """
        for clearance, needed in (
            (Clearance.NONE, MIN_CRASHES),
            (Clearance.BEFORE_CRASH, MIN_CRASHES_AFTER_ANSWERS),
        ):
            crashes = self.list_crashes(part, clearance)
            if self._weigh(part, crashes) < needed:
                continue
            if not self._has_answers_since(crashes[0]):
                # The upstreams or their version are as likely a cause.
                continue
            group = self._find_inseparable(part, crashes, clearance)
            if group:
                self._publish_poison(group, crashes)
                return True
        return False

    def _clear(self, part: str, upstream: str, clearance: Clearance) -> None:
        if self._find_clearance(part, upstream) >= clearance:
            return
        self._publish(
            facts.Fact(
                key=f"{CLEARED_PREFIX}{part}/{upstream}",
                rank=(int(clearance),),
                value="",
                expires=self._times[upstream] + self._crash_retention,
            )
        )

    def _has_answers_since(self, upstream: str) -> bool:
        """Tell whether answers with any parts began after a crash."""
        return (
            upstream in self._survived
            or self._last_answer_at > self._received_at[upstream]
        )

    def _publish_poison(
        self, group: frozenset[str], crashes: list[str]
    ) -> None:
        key = make_poison_key(group)
        if self._facts.find(key) is not None:
            return
        parts = " and ".join(sorted(group))
        self._publish(
            facts.Fact(
                key=key,
                rank=(1,),
                value=f"prompts with {parts} crashed {', '.join(crashes)}",
                expires=self._read_time() + self._poison_retention,
            )
        )

    def _find_inseparable(
        self, part: str, crashes: list[str], clearance: Clearance
    ) -> frozenset[str]:
        """Return a part with those that are as suspect in the same crashes.

        Empty if another part is more suspect.
        """
        weight = self._weigh(part, crashes)
        group = {part}
        for other in set.intersection(
            *(set(self._contents[upstream]) for upstream in crashes)
        ):
            same = self.list_crashes(other, clearance)
            if not set(crashes) <= set(same):
                continue
            other_weight = self._weigh(other, same)
            if other_weight > weight:
                return frozenset()
            if other_weight == weight:
                group.add(other)
        return frozenset(group if len(group) <= MAX_GROUP_PARTS else ())

    def _weigh(self, part: str, crashes: list[str]) -> int:
        """Return how many crashes speak against a part.

        A request that crashed several upstreams speaks against its parts
        once, and so do crashes that happen together.
        """
        moments = 0
        last = 0.0
        contents: set[str] = set()
        for upstream in crashes:
            contents |= self._contents[upstream][part]
            crash_time = self._times[upstream]
            if not moments or crash_time - last > CORRELATED_CRASHES_SECONDS:
                moments += 1
                last = crash_time
        return min(moments, len(contents))

    def _find_clearance(self, part: str, upstream: str) -> Clearance:
        fact = self._facts.find(f"{CLEARED_PREFIX}{part}/{upstream}")
        if fact is None or not fact.rank:
            return Clearance.NONE
        return Clearance(max(0, min(fact.rank[0], Clearance.AFTER_CRASH)))

    def _add_crash(self, crash: part_crashes.PartCrash) -> None:
        self._times.setdefault(crash.upstream, crash.time)
        self._received_at.setdefault(crash.upstream, self._read_clock())
        contents = self._contents.setdefault(crash.upstream, {})
        for suspect in crash.suspects:
            for part in suspect.parts:
                contents.setdefault(part, set()).add(suspect.content)
                clearance = self._find_clearance(part, crash.upstream)
                if clearance is not Clearance.AFTER_CRASH:
                    self._crashes.setdefault(part, set()).add(crash.upstream)
        for part in contents:
            for group in self._refused.get(part, ()):
                self._explain(crash.upstream, group)

    def _add_refused(self, group: frozenset[str]) -> None:
        self._refused.setdefault(min(group), set()).add(group)
        for upstream in self._contents:
            self._explain(upstream, group)

    def _explain(self, upstream: str, group: frozenset[str]) -> None:
        if group <= self._contents[upstream].keys():
            self._causes.setdefault(upstream, set()).add(group)

    def _is_explained_without(self, part: str, upstream: str) -> bool:
        """Tell whether refused parts other than this one explain a crash."""
        groups = self._causes.get(upstream, set())
        return bool(groups) and not any(part in group for group in groups)

    def _remove_crash(self, part: str, upstream: str) -> None:
        crashes = self._crashes.get(part, set())
        crashes.discard(upstream)
        if not crashes:
            self._crashes.pop(part, None)


def make_poison_key(group: frozenset[str]) -> str:
    """Return the key of the fact by which parts are refused together."""
    return POISON_PREFIX + GROUP_SEPARATOR.join(sorted(group))
