"""Crash incidents: a version that crashes its upstreams, told from chance.

One request that crashes many upstreams is poison; many different requests
that crash one version's upstreams, and run well on the other version, speak
against the version. Hosts fail without notice now and then, so one incident
says nothing, and upstreams of a zone lost together are one incident.
"""

import math

from buckthornhold.coordination import poison_detectors

#: Crashes of one zone within so many seconds are one incident.
INCIDENT_WINDOW_SECONDS = 2.0
MIN_INCIDENTS = 2
#: Chance, if both versions crash alike, up to which a version is blamed.
SIGNIFICANCE_LEVEL = 0.3
#: Incidents within so many seconds that no version beside excuses.
MIN_BURST_INCIDENTS = 3
BURST_WINDOW_SECONDS = 60.0


def find_crash_regression(
    detector: poison_detectors.PoisonDetector,
    *,
    old: str,
    new: str,
    share: float,
) -> str:
    """Return why the new version is blamed for crashes, or nothing.

    ``share`` is the part of crashes that would fall to it by chance. Only
    crashes count of which every suspect was cleared by running elsewhere.
    """
    counts = {
        version: len(_list_incidents(detector, version))
        for version in (old, new)
    }
    total = counts[old] + counts[new]
    if counts[new] < MIN_INCIDENTS:
        return ""
    chance = sum(
        math.comb(total, number)
        * share**number
        * (1 - share) ** (total - number)
        for number in range(counts[new], total + 1)
    )
    if chance > SIGNIFICANCE_LEVEL:
        return ""
    return (
        f"{counts[new]} crashes of upstreams, {counts[old]} of {old}, under "
        "requests that ran well elsewhere"
    )


def find_crash_burst(
    detector: poison_detectors.PoisonDetector, *, version: str
) -> str:
    """Return why a version that has all traffic is blamed for crashes.

    There is no other to compare with, so more is needed: incidents apart in
    time or zone that come faster than hosts fail without notice.
    """
    moments = sorted(_list_incidents(detector, version))
    for first, last in zip(
        moments, moments[MIN_BURST_INCIDENTS - 1 :], strict=False
    ):
        if last - first <= BURST_WINDOW_SECONDS:
            return (
                f"{MIN_BURST_INCIDENTS} crashes of upstreams in "
                f"{last - first:.0f} s, under requests that ran well elsewhere"
            )
    return ""


def _list_incidents(
    detector: poison_detectors.PoisonDetector, version: str
) -> list[float]:
    """Return when the incidents of a version began."""
    moments = []
    last: dict[str, float] = {}
    for upstream in sorted(
        detector.list_isolated_crashes(), key=detector.find_time
    ):
        versions = {it.version for it in detector.list_suspects(upstream)}
        if versions != {version} or detector.has_uncleared_suspect(upstream):
            continue
        moment = detector.find_time(upstream)
        zone = detector.find_zone(upstream)
        if moment - last.get(zone, -math.inf) > INCIDENT_WINDOW_SECONDS:
            moments.append(moment)
        last[zone] = moment
    return moments
