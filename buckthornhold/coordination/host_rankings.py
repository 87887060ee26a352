"""Ranks: orders of hosts that all hosts work out alike, without any talk."""

from collections.abc import Iterable
import hashlib


def hash_name(*words: str) -> int:
    """Return a number that is the same for the same words on all hosts."""
    digest = hashlib.blake2b("\0".join(words).encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def rank_members(members: Iterable, *, purpose: str) -> list:
    """Order what has a ``host`` by rendezvous hashing for a purpose.

    Hosts with the same members come to the same order; when one member
    leaves, the order of the others stays.
    """
    return sorted(members, key=lambda it: hash_name(purpose, it.host))


def is_selected(host: str, others: Iterable[str], count: int) -> bool:
    """Tell whether a host is among so many that hashing chooses."""
    return host in sorted([host, *others], key=hash_name)[:count]


def is_assigned(
    host: str, others: Iterable[str], task: str, count: int
) -> bool:
    """Tell whether a job falls to a host, as to so many of its peers.

    It takes one hash a job, whatever the number of hosts.
    """
    hosts = sorted([host, *others])
    first = hash_name(task) % len(hosts)
    return (hosts.index(host) - first) % len(hosts) < count
