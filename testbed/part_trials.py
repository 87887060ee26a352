"""Part trials: seeded runs of the decision on parts, without processes.

Requests with common parts of prompts arrive at entry hosts and run on engines.
One part crashes each engine that begins to answer a prompt with it. Engines
come back after some seconds. Time is counted and not waited for.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random

from buckthornhold.coordination import facts
from buckthornhold.coordination import part_crashes
from buckthornhold.coordination import part_detectors

EPOCH = 1_800_000_000.0
RUN_SECONDS = 30.0
RETURN_SECONDS = 3.0
#: Time until the hosts with requests on a crashed engine have noticed it.
NOTICE_SECONDS = 0.03
MESSAGE_SECONDS = 0.04
CLEARANCE_JITTER_SECONDS = 0.08
DEADLY_PART = "deadly"
#: When requests with the deadly part begin.
DEADLY_FROM_SECONDS = 4.0
#: Crash that shows that a part is deadly, and the time after it from which on
#: no host may send more than a few requests with it.
SHOWN_BY_CRASHES = 5
CONTACT_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """What the seeded runs have in common.

    ``rate`` requests a second have ``parts`` middle parts, of which some are
    common and most are rare. ``deadly`` is the share of requests with the
    deadly part; ``answered_before`` tells whether it was sound at first. So
    many engines are ``killed`` at one moment for another reason. With a
    ``companion`` all requests with the deadly part have another rare part in
    common, as has this share of the others. With ``all_crash`` each request
    crashes its engine, as a bad version does.
    """

    hosts: int
    engines: int
    rate: float = 60.0
    parts: int = 12
    deadly: float = 0.03
    answered_before: bool = False
    killed: int = 0
    companion: float = 0.0
    all_crash: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """One request, its host and the engine that it runs on."""

    content: str
    parts: tuple[str, ...]
    host: "Host"
    engine: int
    incarnation: int
    answered: bool = False


class Host:
    """One entry host with its facts and detector."""

    def __init__(
        self,
        *,
        name: str,
        trial: "Trial",
        read_now: Callable[[], float],
    ) -> None:
        self.name = name
        self._trial = trial
        self.facts = facts.FactStore(notify=self._notify, read_time=read_now)
        self.detector = part_detectors.PartDetector(
            known=self.facts,
            publish=self.publish,
            crash_retention=600.0,
            poison_retention=3600.0,
            read_time=read_now,
            read_clock=read_now,
        )

    def publish(self, fact: facts.Fact) -> None:
        """Apply a fact and send it to the other hosts."""
        if self.facts.merge(fact):
            self._trial.spread(self, fact)

    def _notify(self, fact: facts.Fact) -> None:
        crash = self.detector.apply_fact(fact)
        if crash is not None:
            for part in self.detector.list_clearable(crash):
                self._trial.clear_later(self, part)


class Trial:
    """One seeded run."""

    def __init__(self, *, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._now = EPOCH
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._hosts = [
            Host(
                name=f"entry-{number}", trial=self, read_now=lambda: self._now
            )
            for number in range(shape.hosts)
        ]
        self._incarnations = [0] * shape.engines
        self._back_at = [EPOCH] * shape.engines
        self._running: list[Request] = []
        #: Engines that the deadly part crashed.
        self.crashed = 0
        self.refused_sound = 0
        self.clearances = 0
        #: Requests with the deadly part that were sent too late.
        self.sent_late = 0
        self._shown_at = math.inf

    def run(self) -> None:
        """Run for ``RUN_SECONDS``."""
        arrival = 0.0
        while arrival < RUN_SECONDS:
            arrival += self._random.expovariate(self._shape.rate)
            self._after(arrival, self._arrive)
        if self._shape.killed:
            self._after(DEADLY_FROM_SECONDS - 1.0, self._kill)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()

    def spread(self, sender: Host, fact: facts.Fact) -> None:
        """Send a fact to all other hosts."""
        if fact.key.startswith(part_detectors.CLEARED_PREFIX):
            self.clearances += 1
        for host in self._hosts:
            if host is not sender:
                delay = self._random.uniform(0.001, MESSAGE_SECONDS)
                self._after(delay, lambda host=host: host.facts.merge(fact))

    def clear_later(self, host: Host, part: str) -> None:
        """Publish what clears a part after a random time."""
        self._after(
            self._random.uniform(0.0, CLEARANCE_JITTER_SECONDS),
            lambda: host.detector.publish_clearance(part),
        )

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (self._now + seconds, number, act))

    @property
    def _seconds(self) -> float:
        return self._now - EPOCH

    def _arrive(self) -> None:
        host = self._random.choice(self._hosts)
        # A few parts are in most prompts and others in few.
        rank = self._random.paretovariate(0.8)
        middle = f"middle-{min(int(rank), self._shape.parts)}"
        is_deadly = self._random.random() < self._shape.deadly
        if self._shape.companion and (
            is_deadly or self._random.random() < self._shape.companion
        ):
            middle = "companion"
        parts = (f"first-{self._random.randrange(3)}", middle)
        if is_deadly and self._seconds >= DEADLY_FROM_SECONDS:
            parts = (parts[0], DEADLY_PART, middle)
        elif is_deadly and self._shape.answered_before:
            parts = (parts[0], DEADLY_PART)
        self._judge(host, f"{self._random.getrandbits(64):x}", parts)

    def _judge(self, host: Host, content: str, parts: tuple[str, ...]) -> None:
        """Refuse or send a request, once its parts can be judged."""
        for part in parts:
            if not host.detector.needs_clearance(part):
                continue
            wait = host.detector.find_settled_time(part) - self._now
            if wait > 0:
                self._after(wait, lambda: self._judge(host, content, parts))
                return
            host.detector.detect_poison(part)
        if host.detector.find_poison_reason(parts):
            self.refused_sound += DEADLY_PART not in parts
            return
        self._send(host, content, parts)

    def _send(self, host: Host, content: str, parts: tuple[str, ...]) -> None:
        up = [
            engine
            for engine, back_at in enumerate(self._back_at)
            if back_at <= self._now
        ]
        if not up:
            return
        engine = self._random.choice(up)
        if self._now > self._shown_at + CONTACT_SECONDS:
            self.sent_late += DEADLY_PART in parts
        request = Request(
            content=content,
            parts=parts,
            host=host,
            engine=engine,
            incarnation=self._incarnations[engine],
        )
        self._running.append(request)
        self._after(
            self._random.uniform(0.05, 0.4), lambda: self._answer(request)
        )

    def _answer(self, request: Request) -> None:
        if request not in self._running:
            return
        is_deadly = self._shape.all_crash or DEADLY_PART in request.parts
        if is_deadly and self._seconds >= DEADLY_FROM_SECONDS:
            self.crashed += 1
            if self.crashed == SHOWN_BY_CRASHES:
                self._shown_at = self._now
            self._crash(request.engine)
            return
        request.host.detector.record_answer(request.parts, self._now)
        self._running.remove(request)

    def _kill(self) -> None:
        for engine in range(self._shape.killed):
            self._crash(engine)

    def _crash(self, engine: int) -> None:
        broken = [it for it in self._running if it.engine == engine]
        self._running = [it for it in self._running if it.engine != engine]
        name = f"engine-{engine}/{self._incarnations[engine]}"
        self._incarnations[engine] += 1
        self._back_at[engine] = self._now + RETURN_SECONDS
        for host in self._hosts:
            suspects = tuple(
                part_crashes.PartSuspect(
                    content=request.content, parts=request.parts
                )
                for request in broken
                if request.host is host
            )
            if suspects:
                self._after(
                    NOTICE_SECONDS + self._random.uniform(0.0, 0.01),
                    lambda host=host, suspects=suspects: self._note_crash(
                        host, name, suspects
                    ),
                )

    def _note_crash(self, host: Host, name: str, suspects) -> None:
        host.detector.publish_crash(
            part_crashes.PartCrash(
                upstream=name,
                host=host.name,
                time=self._now,
                suspects=suspects,
            )
        )
        for part in {part for it in suspects for part in it.parts}:
            if host.detector.needs_clearance(part):
                wait = host.detector.find_settled_time(part) - self._now
                self._after(
                    wait, lambda part=part: host.detector.detect_poison(part)
                )
