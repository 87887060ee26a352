"""Watch batches: how long a host waits between two watches."""

#: Each upstream writes about once a second, and every host watches all of
#: them. A host of a fleet of up to MIN_BATCH_HOSTS waits this long between two
#: watches, so that one call returns several changes. Upstreams announce that
#: they leave at least two seconds ahead.
MIN_BATCH_SECONDS = 0.4
MIN_BATCH_HOSTS = 12
#: Hosts of larger fleets wait longer, up to this, so that the store's total
#: load stays about the same. The bound is there because an upstream must get
#: no requests two seconds after it announced that it leaves.
MAX_BATCH_SECONDS = 1.2


def compute_batch_seconds(host_count: int) -> float:
    """Return how long a host waits between two watches, in seconds."""
    batch_seconds = MIN_BATCH_SECONDS * max(1.0, host_count / MIN_BATCH_HOSTS)
    return min(MAX_BATCH_SECONDS, batch_seconds)
