"""Service indexes: the upstreams of each service, kept between changes.

A request only looks at the few upstreams that may be excluded at the moment:
those with requests in flight, those that were paused and those with many
failed requests. All others are listed without being asked.
"""

from collections.abc import Iterable

from buckthornhold import upstream_outcomes


class ServiceIndex:
    """Lists of upstreams by service, and those that need to be looked at."""

    def __init__(self) -> None:
        self._known: dict[str, list] = {}
        self._staying: dict[str, list] = {}
        #: Upstreams with requests in flight or a pause.
        self._watched: set = set()
        #: Upstreams that may have to be excluded for failed requests.
        self._failing: set = set()

    def rebuild(self, upstreams: Iterable) -> None:
        """Index all upstreams anew, after one came, left or is leaving."""
        known: dict[str, list] = {}
        for upstream in upstreams:
            known.setdefault(upstream.record.service, []).append(upstream)
        self._known = known
        self._staying = {
            service: [it for it in members if not it.leaving]
            for service, members in known.items()
        }
        listed = {it for members in known.values() for it in members}
        self._watched &= listed
        self._failing &= listed

    def watch(self, upstream) -> None:
        """Look at an upstream's pause and silence for a while."""
        self._watched.add(upstream)

    def note_outcomes(self, upstream) -> None:
        """Record that an upstream's outcomes have changed.

        Only a share above the minimum can exclude one.
        """
        failed_share = upstream.outcomes.failed_share
        if failed_share > upstream_outcomes.MIN_EXCLUDED_FAILED_SHARE:
            self._failing.add(upstream)
        else:
            self._failing.discard(upstream)

    def list_known(self, service: str) -> list:
        """Return a service's upstreams, leaving ones included."""
        return self._known.get(service, [])

    def list_staying(self, service: str) -> list:
        """Return a service's upstreams that aren't leaving.

        The same list until one of them changes; not to be modified.
        """
        return self._staying.get(service, [])

    def find_retry_wait(self, staying: list, now: float) -> float:
        """Return the seconds until one is no longer excluded for silence."""
        if len(staying) > len(self._watched):
            return 0.0
        return min((it.find_retry_wait(now) for it in staying), default=0.0)

    def exclude_unhealthy(self, upstreams: list, now: float) -> list:
        """Return the upstreams without paused, silent and failing ones."""
        excluded = set()
        for upstream in list(self._watched):
            if upstream.paused_until > now or upstream.is_silent(now):
                excluded.add(upstream)
            elif not upstream.in_flight:
                self._watched.discard(upstream)
        healthy = upstreams
        if excluded:
            healthy = [it for it in upstreams if it not in excluded]
        if not self._failing:
            return healthy
        return upstream_outcomes.exclude_failing(healthy)
