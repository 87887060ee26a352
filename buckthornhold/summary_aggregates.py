"""Summary aggregates: the summaries of many hosts, added up to one summary.

Receivers use the increase of a total since the previous summary. So the
totals of an aggregate must never fall, not even when a host leaves: they are
sums of increases, not of the latest totals.
"""

import collections
from collections.abc import Iterable

from buckthornhold import usages
from buckthornhold.coordination import evidence
from buckthornhold.peers import summaries_pb2

#: The kinds of totals in a summary.
TAKEN = "taken"
ENDED = "ended"
FAILED = "failed"
SMALL_REQUESTED = "small"
#: Followed by the urgency.
REQUESTED_PREFIX = "requested/"

#: Follows the name of the collector that sends an aggregate.
AGGREGATE_SUFFIX = "/sum"

#: A kind of total, and the workspace or upstream that it belongs to.
TotalKey = tuple[str, str]


class RunningTotals:
    """Sums the increases of the totals of many hosts' processes."""

    def __init__(self) -> None:
        self._latest_totals: dict[str, tuple[int, dict[TotalKey, float]]] = {}
        self._increases: collections.Counter[TotalKey] = collections.Counter()

    @property
    def increases(self) -> collections.Counter[TotalKey]:
        """The sum of all increases, by kind and workspace or upstream."""
        return self._increases

    def add(self, summary: summaries_pb2.Summary) -> None:
        """Add the increase of a host's totals since its last summary.

        The first summary of a process only sets the base.
        """
        totals = read_totals(summary)
        incarnation, latest = self._latest_totals.get(summary.host, (0, {}))
        if incarnation > summary.incarnation:
            return
        self._latest_totals[summary.host] = (summary.incarnation, totals)
        if incarnation < summary.incarnation:
            return
        for key, total in totals.items():
            self._increases[key] += total - latest.get(key, 0)


class SummaryAggregator:
    """Builds a collector's two aggregates: of its zone, and of the fleet.

    ``zone_aggregate`` is sent to the collectors of the other zones.
    """

    def __init__(self) -> None:
        self._zone_totals = RunningTotals()
        self._other_zones_totals = RunningTotals()
        self._fleet_aggregate: summaries_pb2.Summary | None = None
        self._included_numbers: dict[str, int] = {}
        self.zone_aggregate: summaries_pb2.Summary | None = None

    def add(self, summary: summaries_pb2.Summary) -> None:
        """Add the totals of a host of the zone, or of another zone."""
        totals = (
            self._other_zones_totals if summary.hosts else self._zone_totals
        )
        totals.add(summary)

    def make_reply(
        self, host: str, *, time_of_day: float
    ) -> summaries_pb2.TellReply:
        """Return the aggregate of the fleet for a host of the zone.

        ``time_of_day`` is the present one; the aggregate may be one interval
        old.
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
        """Rebuild both aggregates.

        ``own`` is the collector's own summary, ``fresh`` are those received
        recently, and ``known`` are all whose counts are still needed. Both
        hold summaries of the zone's hosts and aggregates of other zones.
        ``zone_time`` is the median of the zone's own clocks.
        """
        self._zone_totals.add(own)
        self._included_numbers = {
            part.host: part.number for part in fresh if not part.hosts
        }
        self.zone_aggregate = aggregate_summaries(
            make_name(own.host),
            own,
            fresh=[part for part in fresh if not part.hosts],
            known=[part for part in known if not part.hosts],
            increases=self._zone_totals.increases,
            time_of_day=zone_time,
        )
        increases = collections.Counter(self._zone_totals.increases)
        increases.update(self._other_zones_totals.increases)
        self._fleet_aggregate = aggregate_summaries(
            make_name(own.host),
            own,
            fresh=fresh,
            known=known,
            increases=increases,
            time_of_day=zone_time,
        )


def make_name(collector: str) -> str:
    """Return the name under which a collector sends its aggregates."""
    return collector + AGGREGATE_SUFFIX


def aggregate_summaries(
    name: str,
    own: summaries_pb2.Summary,
    *,
    fresh: list[summaries_pb2.Summary],
    known: list[summaries_pb2.Summary],
    increases: collections.Counter[TotalKey],
    time_of_day: float,
) -> summaries_pb2.Summary:
    """Return the sum of an own summary and others, as a summary of a name."""
    total = summaries_pb2.Summary(
        host=name,
        zone=own.zone,
        incarnation=own.incarnation,
        number=own.number,
        time_of_day=time_of_day,
        hosts=1 + sum(max(1, part.hosts) for part in fresh),
    )
    is_full = own.number % usages.FULL_SUMMARY_EVERY == 0
    max_windows = None if is_full else usages.OPEN_WINDOWS
    add_states(total, [own, *fresh])
    add_totals(total, increases)
    add_counts(total, [own, *known], max_windows=max_windows)
    add_tallies(total, [own, *known])
    return total


def read_totals(summary: summaries_pb2.Summary) -> dict[TotalKey, float]:
    """Return a summary's totals by kind and workspace or upstream."""
    totals: dict[TotalKey, float] = {
        (TAKEN, use.workspace): use.units for use in summary.uses
    }
    for use in summary.uses:
        if use.small_requested:
            totals[SMALL_REQUESTED, use.workspace] = use.small_requested
        for urgency, units in use.requested.items():
            totals[f"{REQUESTED_PREFIX}{urgency}", use.workspace] = units
    for load in summary.loads:
        totals[ENDED, load.upstream] = load.ended
        totals[FAILED, load.upstream] = load.failed
    return totals


def add_states(
    total: summaries_pb2.Summary, parts: Iterable[summaries_pb2.Summary]
) -> None:
    """Add the parts' current state: loads, demands, leaving upstreams."""
    requests: collections.Counter[str] = collections.Counter()
    tokens: collections.Counter[str] = collections.Counter()
    pace_weights: collections.Counter[str] = collections.Counter()
    pace_sums: collections.Counter[str] = collections.Counter()
    demands: collections.Counter[str] = collections.Counter()
    leaving = set()
    for part in parts:
        for load in part.loads:
            requests[load.upstream] += load.requests
            tokens[load.upstream] += load.tokens
            if load.pace_weight:
                pace_weights[load.upstream] += load.pace_weight
                pace_sums[load.upstream] += load.pace_sum
        demands.update(part.demands)
        leaving.update(part.leaving)
    for name, count in requests.items():
        total.loads.add(
            upstream=name,
            requests=count,
            tokens=tokens[name],
            pace_weight=pace_weights[name],
            pace_sum=pace_sums[name],
        )
    total.demands.update(demands)
    total.leaving.extend(sorted(leaving))


def add_totals(
    total: summaries_pb2.Summary, increases: collections.Counter[TotalKey]
) -> None:
    """Add running totals to an aggregate that already has its loads."""
    loads = {load.upstream: load for load in total.loads}
    uses = {
        name: total.uses.add(workspace=name, units=value)
        for (kind, name), value in increases.items()
        if kind == TAKEN
    }
    for (kind, name), value in increases.items():
        if kind == TAKEN:
            continue
        if kind == SMALL_REQUESTED:
            uses[name].small_requested = value
        elif kind.startswith(REQUESTED_PREFIX):
            urgency = int(kind.removeprefix(REQUESTED_PREFIX))
            uses[name].requested[urgency] = value
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
    max_windows: int | None,
) -> None:
    """Add counts of requests, of the ``max_windows`` latest windows or all."""
    windows: dict[int, collections.Counter[str]] = {}
    for part in parts:
        for item in part.counts:
            counts = windows.setdefault(item.window, collections.Counter())
            counts.update(item.counts)
    latest = sorted(windows)[-max_windows:] if max_windows else sorted(windows)
    for window in latest:
        total.counts.add(window=window, counts=windows[window])


def carry_over_counts(
    summary: summaries_pb2.Summary, previous: summaries_pb2.Summary
) -> None:
    """Copy the counts of windows that a newer summary leaves out."""
    included = {count.window for count in summary.counts}
    newest = max(included, default=0)
    for item in previous.counts:
        if (
            item.window not in included
            and item.window > newest - usages.RETAINED_WINDOWS
        ):
            summary.counts.append(item)


def add_tallies(
    total: summaries_pb2.Summary, parts: Iterable[summaries_pb2.Summary]
) -> None:
    """Add the parts' evidence on running moves."""
    merged: evidence.Tallies = {}
    for part in parts:
        evidence.add_tallies(merged, read_tallies(part))
    write_tallies(total, merged)


def merge_tallies(
    own: evidence.Tallies, parts: Iterable[summaries_pb2.Summary]
) -> evidence.Tallies:
    """Return the evidence of this host and of others together."""
    merged: evidence.Tallies = {}
    evidence.add_tallies(merged, own)
    for part in parts:
        evidence.add_tallies(merged, read_tallies(part))
    return merged


def subtract_summary(
    total: summaries_pb2.Summary, part: summaries_pb2.Summary
) -> None:
    """Subtract one host's summary from an aggregate that includes it."""
    uses = {own_use.workspace: own_use for own_use in part.uses}
    for use in total.uses:
        own_use = uses.get(use.workspace)
        if own_use is None:
            continue
        use.units -= own_use.units
        # An aggregate of a build without requested units has none of this
        # host's either. A receiver must not take them for a total below zero.
        if use.requested or use.small_requested:
            use.small_requested -= own_use.small_requested
            for urgency, units in own_use.requested.items():
                use.requested[urgency] -= units
    loads = {own_load.upstream: own_load for own_load in part.loads}
    for load in total.loads:
        own = loads.get(load.upstream)
        if own is None:
            continue
        load.requests = max(0, load.requests - own.requests)
        load.tokens = max(0, load.tokens - own.tokens)
        subtract_pace(load, own)
        # The two totals have different bases, so the result may be below
        # zero. Receivers only use its increase.
        load.ended -= own.ended
        load.failed -= own.failed
    for name, demand in part.demands.items():
        total.demands[name] = max(0.0, total.demands[name] - demand)
    counts = {own_item.window: own_item.counts for own_item in part.counts}
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


def subtract_pace(
    load: summaries_pb2.UpstreamLoad, own: summaries_pb2.UpstreamLoad
) -> None:
    """Subtract one host's observations of an engine's pace.

    A collector of a build without them leaves them out of its aggregate; then
    none are left.
    """
    if load.pace_weight <= own.pace_weight:
        load.pace_weight = load.pace_sum = 0
        return
    load.pace_weight -= own.pace_weight
    load.pace_sum -= own.pace_sum


def read_tallies(summary: summaries_pb2.Summary) -> evidence.Tallies:
    """Return the evidence on moves in a summary."""
    return {
        evidence.Series(
            move=tally.move,
            step=tally.step,
            workspace=tally.group,
            new=tally.new,
        ): evidence.load_tally(list(tally.counts))
        for tally in summary.tallies
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
