"""Provisions: the hosts that the fleet has ordered, as the store holds them.

What is to be ordered or released is written to the store first, by
compare-and-swap, and then asked of the cloud under an id that the store
holds. So a holder that was paused, or that is not the holder any more, can
only repeat what is written, which the cloud takes as one order.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import json

from buckthornhold import reasons
from buckthornhold import stores

PREFIX = "provisions/"
#: Hosts' lists lag by different times, so that one that was just listed may
#: be missing on the list of another entry host.
MAX_LIST_LAG_SECONDS = 10.0


class State(enum.StrEnum):
    """How far one host is."""

    #: Written down; the cloud may or may not have heard of it.
    ORDERED = "ordered"
    #: The cloud has named a host for it.
    STARTING = "starting"
    #: The host was on the platform's list.
    LISTED = "listed"
    #: The host is to be given back.
    RELEASING = "releasing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Provision:
    """One host that was ordered; ``changed`` is in seconds since the epoch."""

    order_id: str
    zone: str
    host_class: str
    reclaimable: bool
    changed: float
    state: State = State.ORDERED
    host: str = ""

    @property
    def placement(self) -> tuple[str, str]:
        """The availability zone and the host class."""
        return (self.zone, self.host_class)

    def advance(
        self, state: State, *, changed: float, host: str = ""
    ) -> "Provision":
        """Return the provision in its next state."""
        return dataclasses.replace(
            self, state=state, changed=changed, host=host or self.host
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ledger:
    """All provisions of one model version at one version of the store."""

    key: str
    version: int
    provisions: tuple[Provision, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedHost:
    """A host as the platform lists it; ``serving`` the version in question.

    ``leaving`` also for a host that is drained.
    """

    host: str
    zone: str
    host_class: str
    serving: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostCounts:
    """Hosts by zone and class: those that serve, and with those ordered."""

    serving: collections.Counter
    held: collections.Counter


def reconcile(
    provisions: Iterable[Provision],
    listed: Mapping[str, ListedHost],
    *,
    now: float,
    start_timeout: float,
) -> tuple[Provision, ...]:
    """Return the provisions as the host list shows them to be.

    A host that was listed and is not any more is gone; one that does not
    serve within ``start_timeout`` seconds is to be given back.
    """
    kept = []
    for it in provisions:
        known = listed.get(it.host)
        age = now - it.changed
        if it.state is State.LISTED and known is None:
            if age <= MAX_LIST_LAG_SECONDS:
                kept.append(it)
            continue
        if it.state is State.STARTING and known is not None:
            it = it.advance(State.LISTED, changed=now)
        starting = it.state in (State.STARTING, State.LISTED)
        serves = known is not None and known.serving
        if starting and not serves and age > start_timeout:
            it = it.advance(State.RELEASING, changed=now)
        kept.append(it)
    return tuple(kept)


def count_hosts(
    provisions: Iterable[Provision], listed: Iterable[ListedHost]
) -> HostCounts:
    """Count the hosts that serve and those that will before long."""
    listed = tuple(listed)
    given_up = {it.host for it in listed if it.leaving}
    given_up.update(
        it.host for it in provisions if it.state is State.RELEASING
    )
    staying = [it for it in listed if it.serving and it.host not in given_up]
    serving = collections.Counter((it.zone, it.host_class) for it in staying)
    held = collections.Counter(serving)
    names = {it.host for it in staying}
    for it in provisions:
        if it.host in names or it.host in given_up:
            continue
        if it.state is not State.RELEASING:
            held[it.placement] += 1
    return HostCounts(serving=serving, held=held)


def make_key(model: str, version: str) -> str:
    """Return the store's key for the provisions of a model version."""
    return f"{PREFIX}{model}@{version}"


async def read_ledger(
    store: stores.Store, key: str
) -> Ledger | reasons.Failure:
    """Read what is written down; empty when nothing ever was."""
    entry = await store.get(key)
    if isinstance(entry, reasons.Failure):
        return entry
    if entry is None:
        return Ledger(key=key, version=stores.MUST_NOT_EXIST)
    return load_ledger(entry)


def load_ledger(entry: stores.Entry) -> Ledger:
    """Read a ledger from the store's entry."""
    provisions = tuple(
        Provision(**{**item, "state": State(item["state"])})
        for item in json.loads(entry.value)
    )
    return Ledger(key=entry.key, version=entry.version, provisions=provisions)


async def write_ledger(
    store: stores.Store, ledger: Ledger, provisions: tuple[Provision, ...]
) -> Ledger | reasons.Failure:
    """Write provisions over the ledger that was read.

    A failure may hide a write that took effect; the next read tells.
    """
    value = json.dumps([dataclasses.asdict(it) for it in provisions])
    entry = await store.put(ledger.key, value, expect=ledger.version)
    if isinstance(entry, reasons.Failure):
        return entry
    return dataclasses.replace(
        ledger, version=entry.version, provisions=provisions
    )
