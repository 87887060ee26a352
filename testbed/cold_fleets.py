"""Simulated fleets that send to cold upstreams, without a network.

Each host decides with the product's own module, from a view of its zone that
follows each change with a delay of its own, and from entries that arrive 0 to
2 s late. What reaches each upstream is recorded.
"""

import bisect
import dataclasses
import heapq
import itertools
import random

from buckthornhold.scheduling import cold_starts

ZONES = ("a", "b", "c")
RATE = 12.0
BOUND = cold_starts.Bound(overage=1.5, slack=5.0)
COLD_SECONDS = 3.0
ENTRY_INTERVAL_SECONDS = 1.2
ENTRY_DELAY_SECONDS = 2.0
#: Ranges of the time until a host doubts or no longer doubts another one.
NOTICE_SECONDS = (0.2, 2.5)
#: From a doubt by silence until a member is regarded as gone.
GONE_SECONDS = 5.0
#: Time from a host to an upstream; one request in fifty is slow.
LATENCY_SECONDS = (0.0005, 0.003)
SLOW_LATENCY_SECONDS = 0.04
#: Share of the requests whose attempt fails and is made again elsewhere.
RETRY_SHARE = 0.05


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """An upstream, its cold times and the arrivals of requests."""

    name: str
    cold_times: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    arrivals: list[float] = dataclasses.field(default_factory=list)

    @property
    def key(self):
        """The upstream's name and start."""
        return (self.name, 1)

    def find_remaining(self, now):
        """Return the seconds for which it is cold at a moment."""
        ends = [end for start, end in self.cold_times if start <= now < end]
        return max(ends, default=now) - now

    def count_most(self, *, skipped=0.0):
        """Return the most arrivals in a second of the cold times.

        The first ``skipped`` seconds of each cold time don't count.
        """
        most = 0
        for start, end in self.cold_times:
            cold = [
                moment
                for moment in sorted(self.arrivals)
                if start + skipped <= moment < end
            ]
            for index, moment in enumerate(cold):
                last = bisect.bisect_right(cold, moment + 1.0)
                most = max(most, last - index)
        return most


class Host:
    """A host with its view of the hosts in its zone."""

    def __init__(self, fleet, name, zone, others):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.alive = True
        self.started_at = fleet.now
        self.informed = True
        self.hosts = {name, *others}
        self.doubted = {}
        self.silent = set()
        self.revision = 0
        self.known = set()
        self.view = None
        self.decision = cold_starts.ColdStarts(
            host=name,
            zone=zone,
            zones=ZONES,
            bound=BOUND,
            read_view=self.read_view,
            clock=lambda: fleet.now,
            draw=fleet.draw.random,
        )

    def read_view(self):
        """Return the view that the host has now."""
        age = self.fleet.now - self.started_at
        settled = age >= cold_starts.SETTLE_SECONDS
        if self.view is None or settled != self.view[0]:
            view = cold_starts.ZoneView(
                hosts=tuple(sorted(self.hosts)),
                present=len(self.hosts - self.doubted.keys()),
                silent=len(self.silent),
                informed=self.informed,
                age=age,
            )
            self.view = (settled, view)
        return self.view[1]

    def note_join(self, name):
        """See a host without a doubt."""
        self.hosts.add(name)
        self.doubted.pop(name, None)
        self.silent.discard(name)
        self.view = None

    def note_doubt(self, name):
        """Doubt a host that is silent."""
        self.doubted[name] = self.fleet.now
        self.view = None

    def note_gone(self, name):
        """Regard a doubted host as gone."""
        if name not in self.doubted:
            return
        del self.doubted[name]
        self.hosts.discard(name)
        self.silent.add(name)
        self.view = None


class Fleet:
    """Hosts, upstreams and what happens to them, on a simulated clock."""

    def __init__(self, *, hosts, upstreams, seed):
        self.draw = random.Random(seed)
        self.now = 0.0
        self._numbers = itertools.count()
        self._events = []
        self.entries = []
        self.hosts = []
        names = [f"h{number}" for number in range(hosts)]
        for number, name in enumerate(names):
            zone = ZONES[number % len(ZONES)]
            host = Host(self, name, zone, names[number % len(ZONES) :: 3])
            host.started_at = -60.0
            self.at(self.draw.uniform(0, 2), self.read_entries, host)
            self.hosts.append(host)
        self.upstreams = [Upstream(name=f"u{it}") for it in range(upstreams)]
        self.refused = 0
        self.partitions = []

    def at(self, moment, action, *args, **options):
        """Let something happen at a moment."""
        item = (moment, next(self._numbers), action, args, options)
        heapq.heappush(self._events, item)

    def run(self, seconds):
        """Let everything happen until a moment."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, args, options = heapq.heappop(self._events)
            action(*args, **options)

    # Upstreams and their entries.

    def make_cold(self, upstream, *, seconds=COLD_SECONDS):
        """Make an upstream cold from now on."""
        upstream.cold_times.append((self.now, self.now + seconds))

    def write_entry(self, upstream):
        """Write an upstream's entry now and from then on."""
        remaining = upstream.find_remaining(self.now)
        self.entries.append((upstream.key, remaining))
        self.at(self.now + ENTRY_INTERVAL_SECONDS, self.write_entry, upstream)

    def read_entries(self, host):
        """Let a host take the entries since its last reading, in order."""
        for key, remaining in self.entries[host.revision :]:
            first = key not in host.known
            host.known.add(key)
            host.decision.apply_entry(key, remaining, first_seen=first)
        host.revision = len(self.entries)
        if host.alive:
            delay = self.draw.uniform(0, ENTRY_DELAY_SECONDS)
            self.at(self.now + delay, self.read_entries, host)

    # Requests.

    def send_requests(self, per_second, *, until):
        """Let requests arrive at random hosts, so many a second in all."""
        self._per_second = per_second
        self._until = until
        self.at(self.now, self._request)

    def _request(self):
        gap = self.draw.expovariate(self._per_second)
        if self.now + gap < self._until:
            self.at(self.now + gap, self._request)
        host = self.draw.choice(self.hosts)
        if not host.alive:
            return
        tries = 1 + (self.draw.random() < RETRY_SHARE)
        for _ in range(tries):
            self._attempt(host)

    def _attempt(self, host):
        keys = [it.key for it in self.upstreams if it.key in host.known]
        selected = set(host.decision.select(keys, RATE))
        found = [it for it in self.upstreams if it.key in selected]
        if not found:
            self.refused += 1
            return
        upstream = self.draw.choice(found)
        host.decision.record_request(upstream.key, RATE)
        delay = self.draw.uniform(*LATENCY_SECONDS)
        if self.draw.random() < 0.02:
            delay = SLOW_LATENCY_SECONDS
        upstream.arrivals.append(self.now + delay)

    # Hosts.

    def list_zone(self, zone):
        """Return the hosts of a zone that run."""
        return [it for it in self.hosts if it.alive and it.zone == zone]

    def tell(self, name, zone, action):
        """Let each host of a zone notice something after its own delay."""
        for host in self.list_zone(zone):
            if host.name != name and not self.is_cut(host, name):
                delay = self.draw.uniform(*NOTICE_SECONDS)
                self.at(self.now + delay, action, host, name)

    def is_cut(self, host, name):
        """Tell whether a partition separates two hosts."""
        return any(
            (host.name in group) != (name in group)
            for group in self.partitions
        )

    def join(self, zone):
        """Start a host."""
        others = [it.name for it in self.list_zone(zone)]
        host = Host(self, f"h{len(self.hosts)}", zone, others)
        self.hosts.append(host)
        self.at(self.now, self.read_entries, host)
        self.tell(host.name, zone, Host.note_join)

    def kill(self, host):
        """End a host; others see it silent, as if its machine were off."""
        host.alive = False
        self.tell(host.name, host.zone, self.doubt)

    def doubt(self, host, name):
        """Let a host doubt another, and later regard it as gone."""
        host.note_doubt(name)
        self.at(self.now + GONE_SECONDS, Host.note_gone, host, name)

    def cut(self, group, *, until):
        """Partition some hosts from all others."""
        names = {host.name for host in group}
        for host in self.hosts:
            for other in self.list_zone(host.zone):
                if (host.name in names) != (other.name in names):
                    delay = self.draw.uniform(*NOTICE_SECONDS)
                    self.at(self.now + delay, self.doubt, host, other.name)
        self.partitions.append(names)
        self.at(until, self.heal, names)

    def heal(self, names):
        """End a partition."""
        self.partitions.remove(names)
        for host in self.hosts:
            for other in self.list_zone(host.zone):
                if (host.name in names) != (other.name in names):
                    delay = self.draw.uniform(*NOTICE_SECONDS)
                    self.at(self.now + delay, Host.note_join, host, other.name)

    # Results.

    def find_most(self, *, skipped=0.0):
        """Return the most arrivals in a second at any upstream."""
        return max(it.count_most(skipped=skipped) for it in self.upstreams)

    def compute_use(self, *, skipped=0.0):
        """Return the share of the cold rate that was used."""
        arrived = possible = 0.0
        for upstream in self.upstreams:
            for start, end in upstream.cold_times:
                possible += RATE * (end - start - skipped)
                arrived += sum(
                    start + skipped <= it < end for it in upstream.arrivals
                )
        return arrived / possible
