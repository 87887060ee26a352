"""Host rankings that all hosts compute identically by hashing names."""

from collections.abc import Iterable
import hashlib


def hash_name(*words: str) -> int:
    """Return a 64-bit hash of the words; the same on all hosts."""
    digest = hashlib.blake2b("\0".join(words).encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def rank_members(members: Iterable, *, purpose: str) -> list:
    """Sort objects with a ``host`` by rendezvous hashing for a purpose.

    Hosts that see the same members compute the same order. When a member
    leaves, the order of the others doesn't change.
    """
    return sorted(members, key=lambda member: hash_name(purpose, member.host))


def is_selected(name: str, others: Iterable[str], count: int) -> bool:
    """Return whether a host is among the ``count`` lowest by hash."""
    return name in sorted([name, *others], key=hash_name)[:count]


def is_assigned(
    name: str, others: Iterable[str], job: str, count: int
) -> bool:
    """Return whether a job is assigned to a host, one of ``count`` hosts.

    It computes one hash per job, regardless of the number of hosts.
    """
    hosts = sorted([name, *others])
    first = hash_name(job) % len(hosts)
    return (hosts.index(name) - first) % len(hosts) < count
