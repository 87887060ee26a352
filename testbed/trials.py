"""Trials: seeded runs of the decision on suspects, without processes.

Each run has entry hosts with facts and quarantines of their own, messages
between them that come late and out of order, and requests that run on
upstreams, of which one is poison. Time is counted and not waited for.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from buckthornhold import settings
from buckthornhold.coordination import facts
from buckthornhold.coordination import poison_detectors
from buckthornhold.coordination import suspect_slots

EPOCH = 1_800_000_000.0
TOKEN_SECONDS = 0.02
POLL_SECONDS = 0.02
GATHER_SECONDS = 0.03
SETTLE_SECONDS = 0.1
SLOT_SECONDS = settings.DEFAULTS["suspect_slot"]
RUN_SECONDS = 60.0
MOST_TOKENS = 150


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """What the seeded runs have in common.

    ``late`` tells whether the poison yields tokens before it crashes its
    upstream. Each message between hosts takes up to ``delay`` seconds, and
    an attempt starts up to ``lag`` seconds after it was decided on. So many
    of the suspects are ``gone`` with their callers and never run again.
    """

    upstreams: int
    suspects: int
    late: bool
    delay: float = 0.04
    lag: float = 0.01
    gone: int = 0

    @property
    def release_seconds(self) -> float:
        """Time from the refusal until all others may run again."""
        return self.delay + 2 * POLL_SECONDS + self.lag


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """One request, held by one host, and where it stands.

    ``held_back`` is the longest that it waited with the poison refused.
    """

    fingerprint: str
    host: "Host"
    length: int
    crashes_at: int = -1
    position: int = 0
    start: int = 0
    known: tuple[str, ...] = ()
    upstream: str = ""
    waits_since: float = 0.0
    held_back: float = 0.0
    refused: bool = False
    gone: bool = False

    @property
    def ended(self) -> bool:
        """Whether the answer is whole."""
        return self.position >= self.length


class Host:
    """One entry host: what it knows and when it learned of crashes."""

    def __init__(
        self,
        *,
        name: str,
        read_time: Callable[[], float],
        spread: Callable[["Host", facts.Fact], None],
    ) -> None:
        self.name = name
        self.learned: dict[str, float] = {}
        self._read_time = read_time
        self._spread = spread
        self.facts = facts.FactStore(notify=self._take, read_time=read_time)
        self.judge = poison_detectors.PoisonDetector(
            known=self.facts,
            publish=self._publish,
            crash_retention=600.0,
            poison_retention=3600.0,
            read_time=read_time,
        )

    def _publish(self, fact: facts.Fact) -> None:
        if self.facts.merge(fact):
            self._spread(self, fact)

    def _take(self, fact: facts.Fact) -> None:
        if not fact.key.startswith(poison_detectors.CRASH_PREFIX):
            return
        self.judge.apply_fact(fact)
        upstream = poison_detectors.load_crash(fact).upstream
        learned = self._read_time() + SETTLE_SECONDS
        self.learned.setdefault(upstream, learned)


class Trial:
    """One seeded run with one poison request among innocent ones."""

    def __init__(self, *, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._now = EPOCH
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._upstreams = [f"engine-{it}" for it in range(shape.upstreams)]
        self.hosts = [
            Host(
                name=f"entry-{number}",
                read_time=lambda: self._now,
                spread=self._spread,
            )
            for number in range(3)
        ]
        self.crashed: list[str] = []
        self.refused_at = 0.0
        self.requests: list[Request] = []
        self.poison = self._add_request(crashes_at=self._draw_crash())

    def run(self) -> None:
        """Run until all requests are answered or refused."""
        first = self._upstreams[0]
        for number in range(self._shape.suspects + 20):
            request = self._add_request()
            place = first
            if number >= self._shape.suspects:
                place = self._random.choice(self._upstreams[1:])
            request.position = self._random.randrange(1, 40)
            request.gone = number < self._shape.gone
            self._begin(request, place)
        self._begin(self.poison, first)
        while self._events and self._now < EPOCH + RUN_SECONDS:
            self._now, _, act = heapq.heappop(self._events)
            act()

    def list_innocents(self) -> list[Request]:
        """Return the requests with callers, but for the poison."""
        return [
            it for it in self.requests if it is not self.poison and not it.gone
        ]

    def _add_request(self, *, crashes_at: int = -1) -> Request:
        request = Request(
            fingerprint=f"{self._random.getrandbits(96):024x}",
            host=self._random.choice(self.hosts),
            length=MOST_TOKENS,
            crashes_at=crashes_at,
        )
        self.requests.append(request)
        return request

    def _draw_crash(self) -> int:
        return self._random.randrange(6, 30) if self._shape.late else 0

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (self._now + seconds, number, act))

    def _spread(self, sender: Host, fact: facts.Fact) -> None:
        for host in self.hosts:
            if host is sender:
                continue
            delay = self._random.uniform(0.001, self._shape.delay)
            self._after(delay, lambda host=host: self._hear(host, fact))

    def _hear(self, host: Host, fact: facts.Fact) -> None:
        if not host.facts.merge(fact):
            return
        key = poison_detectors.make_crash_key(fact.key, host.name)
        if key and host.facts.find(key) is None:
            self._note_crash(host, poison_detectors.load_crash(fact).upstream)

    def _begin(self, request: Request, upstream: str) -> None:
        """Run a request on an upstream; one that has crashed refuses."""
        if upstream in self.crashed:
            self._after(POLL_SECONDS, lambda: self._seek_turn(request))
            return
        if request.waits_since and self.refused_at:
            since = max(request.waits_since, self.refused_at)
            request.held_back = max(request.held_back, self._now - since)
        request.upstream = upstream
        request.start = request.position
        strikes = request.host.judge.list_suspected_crashes(
            request.fingerprint
        )
        request.known = tuple(strikes)
        self._after(TOKEN_SECONDS, lambda: self._step(request, upstream))

    def _step(self, request: Request, upstream: str) -> None:
        """Yield one token, or crash the upstream."""
        if upstream in self.crashed:
            return
        if 0 <= request.crashes_at <= request.position:
            self._crash(upstream)
            return
        request.position += 1
        request.host.judge.clear(request.fingerprint, request.position)
        if request.ended:
            request.upstream = ""
            return
        self._after(TOKEN_SECONDS, lambda: self._step(request, upstream))

    def _crash(self, upstream: str) -> None:
        self.crashed.append(upstream)
        for host in self.hosts:
            self._after(
                GATHER_SECONDS + self._random.uniform(0.0, 0.01),
                lambda host=host: self._note_crash(host, upstream),
            )
        for request in self.requests:
            if request.upstream != upstream or request.gone:
                continue
            request.waits_since = self._now
            self._after(
                GATHER_SECONDS + SETTLE_SECONDS + 2 * self._shape.delay,
                lambda request=request: self._seek_turn(request),
            )

    def _note_crash(self, host: Host, upstream: str) -> None:
        suspects = tuple(
            poison_detectors.Suspect(
                fingerprint=request.fingerprint,
                version="v1",
                start=request.start,
                position=request.position,
                known=request.known,
            )
            for request in self.requests
            if request.upstream == upstream and request.host is host
        )
        if suspects:
            host.judge.publish_crash(
                poison_detectors.Crash(
                    upstream=upstream,
                    zone="zone-a",
                    host=host.name,
                    time=self._now,
                    suspects=suspects,
                )
            )

    def _seek_turn(self, request: Request) -> None:
        """Refuse a request, run it, or look again later."""
        judge = request.host.judge
        if judge.detect_poison(request.fingerprint, ran_before=False):
            request.refused = True
            self.refused_at = self._now
            request.upstream = ""
            return
        names = [it for it in self._upstreams if not judge.has_crashed(it)]
        strikes = judge.list_suspected_crashes(request.fingerprint)
        if not names:
            return
        place = self._random.choice(names)
        if strikes:
            turn = suspect_slots.assign_slot(judge, request.fingerprint, names)
            place = turn.upstream
            learned = max(request.host.learned[it] for it in strikes)
            limit = learned + turn.slot * SLOT_SECONDS
            if turn.predecessors and self._now < limit:
                self._after(POLL_SECONDS, lambda: self._seek_turn(request))
                return
        lag = self._random.uniform(0.0, self._shape.lag)
        self._after(lag, lambda: self._begin(request, place))
