"""Spreads: how the calls of all hosts are spread over few plain upstreams.

A call ends long before the other hosts know of it, so the loads of the moment
say nothing about the next call's wait. What lasts is the mean load. Each host
draws an upstream by weights that follow from capacities, mean loads and the
zones' demand; all hosts compute nearly the same ones, and drawing keeps them
from choosing the same upstream at once.
"""

from collections.abc import Sequence
import dataclasses

#: Requests that mean loads are raised by before they are compared: noise of
#: small loads must not move the weights of all hosts at once.
PRIOR_REQUESTS = 2.0
#: What a refusal by a full upstream costs: the call is late for a target of
#: some 0.2 s, as the upstream is excluded and others get its calls.
REFUSAL_SECONDS = 0.2
#: Steps in which the greatest local load is looked for, a slot.
LOAD_STEPS = 20
#: Part of a weight that is left for each own request per slot.
OWN_REQUEST_FACTOR = 0.25
#: Bounds the exponent, so that not all weights become 0 under overload.
MAX_OWN_EXPONENT = 20.0
#: Least part of the weight by capacity for upstreams in other zones, so that
#: their loads are known.
MIN_WEIGHT_SHARE = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class Option:
    """An upstream: its slots, this host's requests and the mean load."""

    zone: str
    slots: int
    own: int
    load: float


def weigh(
    options: Sequence[Option],
    *,
    zone: str,
    hosts: dict[str, int],
    trip_seconds: float,
) -> list[float]:
    """Return the weight of each option for the next call of this host.

    ``hosts`` is the number of hosts in each zone: they share the demand.
    ``trip_seconds`` is what a call to another zone takes longer.
    """
    weights = _weigh_zones(
        options, zone=zone, hosts=hosts, trip_seconds=trip_seconds
    )
    slots = sum(option.slots for option in options)
    mean = sum(option.load + PRIOR_REQUESTS for option in options) / slots
    return [
        weight
        * mean
        * option.slots
        / (option.load + PRIOR_REQUESTS)
        * OWN_REQUEST_FACTOR
        ** min(MAX_OWN_EXPONENT, option.own / option.slots * len(options))
        for weight, option in zip(weights, options, strict=True)
    ]


def _weigh_zones(options, *, zone, hosts, trip_seconds) -> list[float]:
    """Return weights by capacity, after the local zone's own share."""
    slots = sum(option.slots for option in options)
    local_slots = sum(it.slots for it in options if it.zone == zone)
    host_count = sum(hosts.values())
    load = sum(option.load for option in options)
    demand = load * hosts.get(zone, 0) / max(1, host_count)
    if not local_slots or local_slots == slots or not demand:
        return [float(option.slots) for option in options]
    largest = max(option.slots for option in options if option.zone == zone)
    limit = find_load_limit(largest, load / slots, trip_seconds=trip_seconds)
    kept = min(1.0, limit * local_slots / demand)
    room = {}
    for other in {option.zone for option in options}:
        part = sum(it.slots for it in options if it.zone == other)
        used = load * hosts.get(other, 0) / host_count
        room[other] = max(
            MIN_WEIGHT_SHARE, (load * part / slots - used) / part
        )
    free = sum(room[it.zone] * it.slots for it in options if it.zone != zone)
    return [
        slots * kept * option.slots / local_slots
        if option.zone == zone
        else slots
        * max(MIN_WEIGHT_SHARE, 1.0 - kept)
        * room[option.zone]
        * option.slots
        / free
        for option in options
    ]


def find_load_limit(
    slots: int, mean_load: float, *, trip_seconds: float
) -> float:
    """Return the load per slot up to which calls stay in their zone.

    Beyond it one more call there costs more by refusals than the trip and
    one more call at the mean load.
    """
    limit = trip_seconds + _estimate_refusals(slots, mean_load * slots)
    load = mean_load * slots
    step = 1.0 / LOAD_STEPS
    while load < slots and _estimate_refusals(slots, load + step) <= limit:
        load += step
    return load / slots


def _estimate_refusals(slots: int, load: float) -> float:
    """Return the seconds that one more call costs by refusals at a load."""
    step = 1.0 / LOAD_STEPS
    rise = (load + step) * compute_refused_share(slots, load + step)
    rise -= load * compute_refused_share(slots, load)
    return REFUSAL_SECONDS * rise / step


def compute_refused_share(slots: int, load: float) -> float:
    """Return the share of calls that find all slots in use (Erlang B)."""
    refused = 1.0
    for count in range(1, slots + 1):
        refused = load * refused / (count + load * refused)
    return refused
