"""Pace exchanges: the paces of engines in the hosts' summaries.

Each host reports what it observed itself; what others observed comes from
their summaries or from an aggregate of them.
"""

from collections.abc import Iterable
import math

from buckthornhold.coordination import pause_detectors
from buckthornhold.peers import summaries_pb2
from buckthornhold.scheduling import paces

#: Least time between two computations of all paces: their half-life is ten
#: times as long.
UPDATE_SECONDS = 2.0
#: Judgements that are logged in one computation; the rest is counted.
MAX_LOGGED_JUDGEMENTS = 5
#: Summaries carry weights and sums in hundredths.
REPORT_UNITS = 100


class PaceExchange:
    """Fills this host's summaries and applies the other hosts'."""

    def __init__(self, *, host, joint_paces: paces.JointPaces) -> None:
        self._host = host
        self._paces = joint_paces
        self._updated_at = -math.inf
        #: Number of hosts in each zone, this one included.
        self.zone_hosts: dict[str, int] = {}
        host.summaries.add_source(self._fill_summary)

    def update(self, now: float) -> None:
        """Read the other hosts' observations and compute the paces."""
        if now - self._updated_at < UPDATE_SECONDS:
            return
        self._updated_at = now
        self.zone_hosts = count_zone_hosts(self._host)
        by_name = {it.name: it.key for it in self._host.upstreams.list_all()}
        summed: dict[paces.Key, paces.Observations] = {}
        delay = self._host.summaries.aggregation_delay_seconds
        present = pause_detectors.read_boot_clock()
        for received in self._host.summaries.list_fresh_received():
            age = present - received.received_at + delay
            factor = 0.5 ** (max(0.0, age) / paces.HALF_LIFE_SECONDS)
            factor /= REPORT_UNITS
            for load in received.summary.loads:
                key = by_name.get(load.upstream)
                if key is None or not load.pace_weight:
                    continue
                weight, total = summed.get(key, paces.NONE)
                limit = load.pace_weight * math.log(paces.MAX_RATIO)
                summed[key] = (
                    weight + load.pace_weight * factor,
                    total + min(limit, max(-limit, load.pace_sum)) * factor,
                )
        self._paces.retain(set(by_name.values()))
        self._paces.set_others(summed, age=0.0)
        self._update_services()

    def _update_services(self) -> None:
        services: dict[str, list[paces.Key]] = {}
        for upstream in self._host.upstreams.list_all():
            keys = services.setdefault(upstream.record.service, [])
            keys.append(upstream.key)
        for service, keys in services.items():
            self._report(service, self._paces.update(service, keys))

    def _report(
        self, service: str, judgements: Iterable[paces.Judgement]
    ) -> None:
        for number, judgement in enumerate(judgements):
            self._host.counters.count_event(
                "paces.slow" if judgement.slow else "paces.normal"
            )
            if number >= MAX_LOGGED_JUDGEMENTS:
                continue
            self._host.logger.bind(
                step="paces", peer=judgement.engine[0]
            ).info(
                f"pace of {service} is judged "
                f"{'slow' if judgement.slow else 'normal again'}: "
                f"{judgement.factor:.2f} times the median by "
                f"{judgement.weight:.0f} observations"
            )

    def _fill_summary(self, summary: summaries_pb2.Summary) -> None:
        """Add this host's observations to the loads of its upstreams."""
        observed = {
            engine[0]: values for engine, values in self._paces.list_own()
        }
        for load in summary.loads:
            weight, total = observed.get(load.upstream, paces.NONE)
            load.pace_weight = round(weight * REPORT_UNITS)
            if load.pace_weight:
                load.pace_sum = round(total * REPORT_UNITS)


def count_zone_hosts(host) -> dict[str, int]:
    """Return the number of hosts in each zone, this one included."""
    counts = {host.settings.zone: 1}
    for member in host.members.list_present():
        if member.host != host.settings.host:
            counts[member.zone] = counts.get(member.zone, 0) + 1
    return counts
