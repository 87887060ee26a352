"""Provisions: hosts that the fleet has ordered, as recorded in the store.

An order or a release is first written to the store by compare-and-swap and
then sent to the cloud under the stored order id. A paused process, or one
that lost its lease, can thus only repeat what is recorded, and the cloud
handles repeats under one id as one order.
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
#: Entry hosts refresh the host list at different times, so a host that one of
#: them has just seen may be missing on the list of another.
MAX_LIST_LAG_SECONDS = 10.0


class State(enum.StrEnum):
    """State of one ordered host."""

    #: Recorded; the cloud may or may not have received the order.
    ORDERED = "ordered"
    #: The cloud has assigned a host to the order.
    STARTING = "starting"
    #: The platform's host list has contained the host.
    LISTED = "listed"
    #: The host is to be released.
    RELEASING = "releasing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Provision:
    """One ordered host; ``changed`` is in seconds since the epoch."""

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
        """Return the provision in another state."""
        return dataclasses.replace(
            self, state=state, changed=changed, host=host or self.host
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ledger:
    """All provisions of one model version, at one version of their key."""

    key: str
    version: int
    provisions: tuple[Provision, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedHost:
    """A host on the platform's list.

    ``serving`` tells whether it serves the version in question, ``leaving``
    whether it is leaving or draining.
    """

    host: str
    zone: str
    host_class: str
    serving: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostCounts:
    """Number of hosts by zone and class.

    ``serving`` counts the hosts that serve; ``held`` includes ordered ones.
    """

    serving: collections.Counter
    held: collections.Counter


def reconcile(
    provisions: Iterable[Provision],
    listed: Mapping[str, ListedHost],
    *,
    now: float,
    start_timeout: float,
) -> tuple[Provision, ...]:
    """Update the provisions' states from the host list.

    A provision whose host is no longer listed is removed. A host that does
    not serve within ``start_timeout`` seconds is to be released.
    """
    reconciled = []
    for provision in provisions:
        host = listed.get(provision.host)
        age = now - provision.changed
        if provision.state is State.LISTED and host is None:
            if age <= MAX_LIST_LAG_SECONDS:
                reconciled.append(provision)
            continue
        if provision.state is State.STARTING and host is not None:
            provision = provision.advance(State.LISTED, changed=now)
        starting = provision.state in (State.STARTING, State.LISTED)
        serves = host is not None and host.serving
        if starting and not serves and age > start_timeout:
            provision = provision.advance(State.RELEASING, changed=now)
        reconciled.append(provision)
    return tuple(reconciled)


def count_hosts(
    provisions: Iterable[Provision], listed: Iterable[ListedHost]
) -> HostCounts:
    """Count the hosts that serve, and those ordered to serve."""
    listed = tuple(listed)
    leaving = {host.host for host in listed if host.leaving}
    leaving.update(
        provision.host
        for provision in provisions
        if provision.state is State.RELEASING
    )
    staying = [
        host for host in listed if host.serving and host.host not in leaving
    ]
    serving = collections.Counter(
        (host.zone, host.host_class) for host in staying
    )
    held = collections.Counter(serving)
    names = {host.host for host in staying}
    for provision in provisions:
        if provision.host in names or provision.host in leaving:
            continue
        if provision.state is not State.RELEASING:
            held[provision.placement] += 1
    return HostCounts(serving=serving, held=held)


def make_key(model: str, version: str) -> str:
    """Return the store's key for the provisions of a model version."""
    return f"{PREFIX}{model}@{version}"


def restore_provisions(
    stored: tuple[Provision, ...], known: tuple[Provision, ...]
) -> tuple[Provision, ...]:
    """Return a restored ledger's provisions with those that were known.

    What was known last counts. A provision that had been removed since the
    copy stays; it is removed again by the host list.
    """
    latest = {provision.order_id: provision for provision in stored}
    latest.update({provision.order_id: provision for provision in known})
    return tuple(latest.values())


async def read_ledger(
    store: stores.Store, key: str
) -> Ledger | reasons.Failure:
    """Read a ledger from the store; empty if none was ever written."""
    entry = await store.get(key)
    if isinstance(entry, reasons.Failure):
        return entry
    if entry is None:
        return Ledger(key=key, version=stores.MUST_NOT_EXIST)
    return load_ledger(entry)


def load_ledger(entry: stores.Entry) -> Ledger:
    """Parse a ledger from the store's entry."""
    provisions = tuple(
        Provision(**{**fields, "state": State(fields["state"])})
        for fields in json.loads(entry.value)
    )
    return Ledger(key=entry.key, version=entry.version, provisions=provisions)


async def write_ledger(
    store: stores.Store, ledger: Ledger, provisions: tuple[Provision, ...]
) -> Ledger | reasons.Failure:
    """Replace the provisions of a ledger that was read.

    A write may have taken effect although a failure is returned; the next
    read shows it.
    """
    value = json.dumps(
        [dataclasses.asdict(provision) for provision in provisions]
    )
    entry = await store.put(ledger.key, value, expect=ledger.version)
    if isinstance(entry, reasons.Failure):
        return entry
    return dataclasses.replace(
        ledger, version=entry.version, provisions=provisions
    )
