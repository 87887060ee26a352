"""Failing upstreams: those that fail more often than the others."""

import math

#: An upstream is excluded if the failed share of its requests exceeds this
#: one and exceeds the median share of the service's upstreams by this factor.
MIN_EXCLUDED_FAILED_SHARE = 0.25
EXCLUDED_FAILED_FACTOR = 2.5


def exclude_failing(upstreams: list) -> list:
    """Return the upstreams without those that fail more than the others.

    ``upstreams`` are ``relay_upstreams.RelayUpstream`` of one service.
    """
    if len(upstreams) < 2:
        return upstreams
    shares = sorted(upstream.outcomes.failed_share for upstream in upstreams)
    median = shares[(len(shares) - 1) // 2]
    limit = max(MIN_EXCLUDED_FAILED_SHARE, median * EXCLUDED_FAILED_FACTOR)
    healthy = [
        upstream
        for upstream in upstreams
        if upstream.outcomes.failed_share <= limit
    ]
    # If most of them fail, the cause lies elsewhere.
    if len(healthy) < math.ceil(len(upstreams) / 2):
        return upstreams
    return healthy
