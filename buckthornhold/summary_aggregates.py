"""Sums of summaries: what many hosts say of themselves, as one summary.

Receivers of totals use by how much they have grown since the last time. So a
sum's totals must never fall, also when a host ends: they are added up here
from growths, not from the latest totals.
"""

import collections
from collections.abc import Iterable

from buckthornhold import usages
from buckthornhold.coordination import evidence
from buckthornhold.peers import summaries_pb2

#: The kinds of totals that are told with a summary.
TAKEN = "taken"
ENDED = "ended"
FAILED = "failed"

#: What follows a host's or zone's name where a sum is told under it.
AGGREGATE_SUFFIX = "/sum"

TotalKey = tuple[str, str]


class RunningTotals:
    """By how much the totals of many hosts' processes have grown."""

    def __init__(self) -> None:
        self._latest_totals: dict[str, tuple[int, dict[TotalKey, float]]] = {}
        self._increases: collections.Counter[TotalKey] = collections.Counter()

    @property
    def increases(self) -> collections.Counter[TotalKey]:
        """The sum of all growths, by kind and by what they are of."""
        return self._increases

    def add(self, summary: summaries_pb2.Summary) -> None:
        """Add by how much a host's totals have grown.

        The first that is heard of a process is where its growth begins.
        """
        totals = read_totals(summary)
        incarnation, latest = self._latest_totals.get(summary.host, (0, {}))
        if incarnation > summary.incarnation:
            return
        self._latest_totals[summary.host] = (summary.incarnation, totals)
        if incarnation < summary.incarnation:
            return
        for name, total in totals.items():
            self._increases[name] += total - latest.get(name, 0)


class SummaryAggregator:
    """The sums that a zone's collector tells: of its zone, and of all.

    ``zone`` is what the collectors of other zones are told.
    """

    def __init__(self) -> None:
        self._zone_totals = RunningTotals()
        self._other_zones_totals = RunningTotals()
        self._fleet_aggregate: summaries_pb2.Summary | None = None
        self._included_numbers: dict[str, int] = {}
        self.zone_aggregate: summaries_pb2.Summary | None = None

    def add(self, summary: summaries_pb2.Summary) -> None:
        """Take in the totals of a host of the zone, or of another zone."""
        totals = (
            self._other_zones_totals if summary.hosts else self._zone_totals
        )
        totals.add(summary)

    def make_reply(
        self, host: str, *, time_of_day: float
    ) -> summaries_pb2.TellReply:
        """Return the sum of all for a host of the zone.

        ``time_of_day`` is read now, as the sum may be an interval old.
        """
        reply = summaries_pb2.TellReply()
        if self._fleet_aggregate is not None:
            reply.sum.CopyFrom(self._fleet_aggregate)
            reply.sum.time_of_day = time_of_day
            reply.included = self._included_numbers.get(host, 0)
        return reply

    def aggregate(
        self,
        own: summaries_pb2.Summary,
        *,
        fresh: list[summaries_pb2.Summary],
        known: list[summaries_pb2.Summary],
        zone_time: float,
    ) -> None:
        """Add up anew.

        ``own`` is the collector's own summary, ``fresh`` are those that
        were heard lately and ``known`` all of which counts are still of
        use; both hold hosts of the zone and sums of the other zones.
        ``zone_time`` is the middle of the zone's own clocks.
        """
        self._zone_totals.add(own)
        self._included_numbers = {
            it.host: it.number for it in fresh if not it.hosts
        }
        self.zone_aggregate = aggregate_summaries(
            own.zone + AGGREGATE_SUFFIX,
            own,
            fresh=[it for it in fresh if not it.hosts],
            known=[it for it in known if not it.hosts],
            increases=self._zone_totals.increases,
            time_of_day=zone_time,
        )
        growths = collections.Counter(self._zone_totals.increases)
        growths.update(self._other_zones_totals.increases)
        self._fleet_aggregate = aggregate_summaries(
            own.host + AGGREGATE_SUFFIX,
            own,
            fresh=fresh,
            known=known,
            increases=growths,
            time_of_day=zone_time,
        )


def aggregate_summaries(
    name: str,
    own: summaries_pb2.Summary,
    *,
    fresh: list[summaries_pb2.Summary],
    known: list[summaries_pb2.Summary],
    increases: collections.Counter[TotalKey],
    time_of_day: float,
) -> summaries_pb2.Summary:
    """Return an own summary and others as one, told under a name."""
    total = summaries_pb2.Summary(
        host=name,
        zone=own.zone,
        incarnation=own.incarnation,
        number=own.number,
        time_of_day=time_of_day,
        hosts=1 + sum(max(1, it.hosts) for it in fresh),
    )
    whole = own.number % usages.FULL_SUMMARY_EVERY == 0
    most = None if whole else usages.OPEN_WINDOWS
    add_states(total, [own, *fresh])
    add_totals(total, increases)
    add_counts(total, [own, *known], most=most)
    add_tallies(total, [own, *known])
    return total


def read_totals(summary: summaries_pb2.Summary) -> dict[TotalKey, float]:
    """Return a summary's totals by kind and by what they are of."""
    totals: dict[TotalKey, float] = {
        (TAKEN, it.workspace): it.units for it in summary.uses
    }
    for load in summary.loads:
        totals[ENDED, load.upstream] = load.ended
        totals[FAILED, load.upstream] = load.failed
    return totals


def add_states(
    total: summaries_pb2.Summary, parts: Iterable[summaries_pb2.Summary]
) -> None:
    """Add what holds now: loads, demands and leaving upstreams."""
    requests: collections.Counter[str] = collections.Counter()
    tokens: collections.Counter[str] = collections.Counter()
    demands: collections.Counter[str] = collections.Counter()
    leaving = set()
    for part in parts:
        for load in part.loads:
            requests[load.upstream] += load.requests
            tokens[load.upstream] += load.tokens
        demands.update(part.demands)
        leaving.update(part.leaving)
    for name, count in requests.items():
        total.loads.add(upstream=name, requests=count, tokens=tokens[name])
    total.demands.update(demands)
    total.leaving.extend(sorted(leaving))


def add_totals(
    total: summaries_pb2.Summary, growths: collections.Counter[TotalKey]
) -> None:
    """Add running totals to a sum that has its loads already."""
    loads = {it.upstream: it for it in total.loads}
    for (kind, name), value in growths.items():
        if kind == TAKEN:
            total.uses.add(workspace=name, units=value)
        elif name not in loads:
            continue
        elif kind == ENDED:
            loads[name].ended = round(value)
        else:
            loads[name].failed = round(value)


def add_counts(
    total: summaries_pb2.Summary,
    parts: Iterable[summaries_pb2.Summary],
    *,
    most: int | None,
) -> None:
    """Add counts of requests by window, of the ``most`` latest windows."""
    windows: dict[int, collections.Counter[str]] = {}
    for part in parts:
        for item in part.counts:
            counts = windows.setdefault(item.window, collections.Counter())
            counts.update(item.counts)
    latest = sorted(windows)[-most:] if most else sorted(windows)
    for window in latest:
        total.counts.add(window=window, counts=windows[window])


def carry_over_counts(
    summary: summaries_pb2.Summary, former: summaries_pb2.Summary
) -> None:
    """Add the counts of windows that a newer summary does not tell of."""
    told = {it.window for it in summary.counts}
    newest = max(told, default=0)
    for item in former.counts:
        if (
            item.window not in told
            and item.window > newest - usages.RETAINED_WINDOWS
        ):
            summary.counts.append(item)


def add_tallies(
    total: summaries_pb2.Summary, parts: Iterable[summaries_pb2.Summary]
) -> None:
    """Add the evidence of running moves."""
    merged: evidence.Tallies = {}
    for part in parts:
        evidence.add_tallies(merged, read_tallies(part))
    write_tallies(total, merged)


def subtract_summary(
    total: summaries_pb2.Summary, part: summaries_pb2.Summary
) -> None:
    """Take one host's summary out of a sum that includes it."""
    uses = {it.workspace: it.units for it in part.uses}
    for use in total.uses:
        use.units -= uses.get(use.workspace, 0.0)
    loads = {it.upstream: it for it in part.loads}
    for load in total.loads:
        own = loads.get(load.upstream)
        if own is None:
            continue
        load.requests = max(0, load.requests - own.requests)
        load.tokens = max(0, load.tokens - own.tokens)
        # Growths that began at different totals: only their growth counts.
        load.ended -= own.ended
        load.failed -= own.failed
    for name, demand in part.demands.items():
        total.demands[name] = max(0.0, total.demands[name] - demand)
    counts = {it.window: it.counts for it in part.counts}
    for item in total.counts:
        for name, count in counts.get(item.window, {}).items():
            item.counts[name] = max(0, item.counts[name] - count)
    tallies = read_tallies(total)
    for series, tally in read_tallies(part).items():
        if series in tallies:
            tallies[series].subtract(tally)
    total.ClearField("tallies")
    write_tallies(total, tallies)
    total.hosts = max(0, total.hosts - 1)


def read_tallies(summary: summaries_pb2.Summary) -> evidence.Tallies:
    """Return the evidence on moves that a summary tells."""
    return {
        evidence.Series(
            move=it.move, step=it.step, workspace=it.group, new=it.new
        ): evidence.load_tally(list(it.counts))
        for it in summary.tallies
    }


def write_tallies(
    summary: summaries_pb2.Summary, tallies: evidence.Tallies
) -> None:
    """Add evidence on moves to a summary."""
    for series, tally in tallies.items():
        summary.tallies.add(
            move=series.move,
            step=series.step,
            group=series.workspace,
            new=series.new,
            counts=tally.dump(),
        )
