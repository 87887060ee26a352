"""Cold capacities: how cold upstreams count when others are ordered."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from buckthornhold import routes
from buckthornhold import upstream_directories


@dataclasses.dataclass(frozen=True, kw_only=True)
class ColdCapacity:
    """The upstreams of a service that count when others are ordered.

    ``counted`` bear load now or sooner than one that is ordered now. The
    ``late`` ones don't, but the platform counts them in an order. ``any_cold``
    tells that not all that run bear load, so none is given back.
    """

    counted: list[upstream_directories.UpstreamRecord]
    late: list[upstream_directories.UpstreamRecord]
    any_cold: bool

    def complete_count(
        self, count: int, *, zone: str, reclaimable: bool, most: int
    ) -> int:
        """Return the count to order, with the late ones of its place.

        ``most`` is the greatest number that a zone may have.
        """
        late = sum(
            record.zone == zone and record.reclaimable == reclaimable
            for record in self.late
        )
        return max(count, min(count + late, most))


def assess(
    records: Iterable[upstream_directories.UpstreamRecord],
    remaining: Mapping[tuple[str, int], float],
    service: routes.Service,
) -> ColdCapacity:
    """Tell which of a service's upstreams count.

    ``remaining`` holds the seconds for which the cold ones are cold. One that
    is ordered now bears load once it has started and is warm itself.
    """
    records = list(records)
    start_seconds = service.offer.start_seconds if service.offer else 0.0
    start_seconds += service.cold_start_seconds
    late = [
        record
        for record in records
        if not record.leaving
        and remaining.get(record.key, 0.0) >= start_seconds
        and record.key in remaining
    ]
    return ColdCapacity(
        counted=[record for record in records if record not in late],
        late=late,
        any_cold=any(record.key in remaining for record in records),
    )
