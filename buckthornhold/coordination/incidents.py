"""Tests whether a version crashes its upstreams, from crash incidents.

One request that crashes many upstreams is poison. Different requests that
crash upstreams of one version and complete elsewhere are evidence against
the version. Hosts fail without notice at times, so a single incident proves
nothing, and upstreams of a zone that are lost together are one incident.
"""

import math

from buckthornhold.coordination import poison_detectors

#: Crashes in one zone, each within this time of the last, are one incident.
INCIDENT_WINDOW_SECONDS = 2.0
MIN_INCIDENTS = 2
#: The new version is rejected if the probability of its incidents, under the
#: hypothesis that both versions crash alike, is at most this.
SIGNIFICANCE_LEVEL = 0.3
#: Incidents within the window that reject a version without a comparison.
MIN_BURST_INCIDENTS = 3
BURST_WINDOW_SECONDS = 60.0


def find_crash_regression(
    detector: poison_detectors.PoisonDetector,
    *,
    old: str,
    new: str,
    share: float,
) -> str:
    """Return why the new version's crashes reject it, or an empty string.

    ``share`` is its expected share of the crashes if both versions crash
    alike. Only crashes count whose suspects were all cleared by running
    elsewhere.
    """
    counts = {
        version: len(_list_incidents(detector, version))
        for version in (old, new)
    }
    total = counts[old] + counts[new]
    if counts[new] < MIN_INCIDENTS:
        return ""
    probability = sum(
        math.comb(total, number)
        * share**number
        * (1 - share) ** (total - number)
        for number in range(counts[new], total + 1)
    )
    if probability > SIGNIFICANCE_LEVEL:
        return ""
    return (
        f"{counts[new]} crashes of upstreams, {counts[old]} of {old}, under "
        "requests that ran well elsewhere"
    )


def find_crash_burst(
    detector: poison_detectors.PoisonDetector, *, version: str
) -> str:
    """Return why the crashes of a version with all traffic reject it.

    Returns an empty string if they don't. There is no other version to
    compare with, so it takes several incidents, apart in time or zone, that
    occur faster than hosts fail without notice.
    """
    times = sorted(_list_incidents(detector, version))
    for first, last in zip(
        times, times[MIN_BURST_INCIDENTS - 1 :], strict=False
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
    """Return the start times of a version's incidents."""
    times = []
    last: dict[str, float] = {}
    for upstream in sorted(
        detector.list_isolated_crashes(), key=detector.find_time
    ):
        versions = {
            suspect.version for suspect in detector.list_suspects(upstream)
        }
        if versions != {version} or detector.has_uncleared_suspect(upstream):
            continue
        crash_time = detector.find_time(upstream)
        zone = detector.find_zone(upstream)
        if crash_time - last.get(zone, -math.inf) > INCIDENT_WINDOW_SECONDS:
            times.append(crash_time)
        last[zone] = crash_time
    return times
