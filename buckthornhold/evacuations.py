"""Evacuations: zones that the operator has emptied of new requests.

``scheduling.placements`` decides; here is what both interfaces do around it.
"""

from collections.abc import Iterable

from buckthornhold.scheduling import placements


def adopt(
    host,
    zone_placements: placements.Placements,
    zones: Iterable[str],
    *,
    origin: str,
) -> None:
    """Set a host's evacuated zones; log and count what differs.

    ``origin`` says what orders them, for the log.
    """
    change = zone_placements.set_evacuated(zones)
    for zone in change.begun:
        host.counters.count_event("evacuations.begun")
        host.logger.bind(step="evacuate", peer=zone).warning(
            f"evacuated by {origin}, gets no new requests"
        )
    for zone in change.ended:
        host.counters.count_event("evacuations.ended")
        host.logger.bind(step="evacuate", peer=zone).warning(
            f"evacuation ended by {origin}"
        )
