"""Placements: which availability zones may run a request.

An evacuated zone gets no new requests. A request whose route or workspace
names regions runs only in zones of these regions.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from buckthornhold import reasons

#: Retry-After of requests for which no zone is allowed. Upstreams write their
#: entries about every 1.2 s, so none elsewhere is listed much sooner.
RETRY_AFTER_SECONDS = 1.0

#: Lists of regions, each of which has to contain a zone's region.
Regions = tuple[tuple[str, ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneChange:
    """The zones whose evacuation has begun and ended, sorted."""

    begun: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


class Placements:
    """Decides which zones may run a request.

    ``regions`` maps zones to regions. Until the evacuated zones are known no
    zone is allowed, as a host that has just started could otherwise send
    requests to a zone whose evacuation it has not heard of yet.
    """

    def __init__(
        self,
        *,
        regions: Mapping[str, str] | None = None,
        evacuated: Iterable[str] | None = None,
    ) -> None:
        self._regions = dict(regions or {})
        self._evacuated: frozenset[str] | None = None
        if evacuated is not None:
            self._evacuated = frozenset(evacuated)

    @property
    def known(self) -> bool:
        """Whether it is known which zones are evacuated."""
        return self._evacuated is not None

    @property
    def evacuated(self) -> frozenset[str]:
        """The evacuated zones, as far as they are known."""
        return self._evacuated or frozenset()

    def set_evacuated(self, zones: Iterable[str]) -> ZoneChange:
        """Set the evacuated zones; return what differs."""
        before = self.evacuated
        self._evacuated = frozenset(zones)
        return ZoneChange(
            begun=tuple(sorted(self._evacuated - before)),
            ended=tuple(sorted(before - self._evacuated)),
        )

    def allows_all(self, regions: Regions = ()) -> bool:
        """Tell whether every zone may run a new request."""
        return not regions and self._evacuated == frozenset()

    def allows(self, zone: str, regions: Regions = ()) -> bool:
        """Tell whether a zone may run a new request."""
        if self._evacuated is None or zone in self._evacuated:
            return False
        return self._is_in_regions(zone, regions)

    def find_refusal(
        self, zones: Collection[str], regions: Regions = ()
    ) -> reasons.Failure | None:
        """Return the refusal if none of the upstreams' zones is allowed.

        None if one is allowed or if there are no upstreams at all.
        """
        if not zones or any(self.allows(zone, regions) for zone in zones):
            return None
        if self._evacuated is None:
            return _fail(
                reasons.Reason.HOST_NOT_READY,
                "it is not known yet which zones are evacuated",
            )
        listed = ", ".join(sorted(zones))
        if not any(self._is_in_regions(zone, regions) for zone in zones):
            names = " and ".join("|".join(it) for it in regions)
            return _fail(
                reasons.Reason.REGION_NOT_ALLOWED,
                f"no upstream in the regions {names}, only in {listed}",
            )
        return _fail(
            reasons.Reason.ZONE_EVACUATED,
            f"evacuated: {', '.join(sorted(self._evacuated))}; "
            f"upstreams only in {listed}",
        )

    def _is_in_regions(self, zone: str, regions: Regions) -> bool:
        """Tell whether all lists contain the zone's region.

        A zone of unknown region is in none of them.
        """
        region = self._regions.get(zone)
        return all(region in allowed for allowed in regions)


def list_regions(*lists: tuple[str, ...]) -> Regions:
    """Return the lists that restrict a request; an empty one doesn't."""
    return tuple(regions for regions in lists if regions)


def _fail(reason: reasons.Reason, detail: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reason,
        step="place",
        detail=detail,
        retry_after=RETRY_AFTER_SECONDS,
    )
