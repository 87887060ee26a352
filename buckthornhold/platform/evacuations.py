"""Decodes the keys with which the operator evacuates zones."""

#: Prefix of the keys, one for each evacuated zone. The key alone counts: an
#: evacuation must not fail because of its value.
PREFIX = "op/evacuate/"


def decode(key: str) -> str | None:
    """Return the zone that a key evacuates, or None for any other key."""
    if not key.startswith(PREFIX):
        return None
    return key.removeprefix(PREFIX) or None
