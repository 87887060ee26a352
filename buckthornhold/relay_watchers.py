"""Relay watchers: the prefixes of the store that a relay host watches.

They hold the operator's documents and the upstreams' entries. In a large
fleet only some hosts watch them (``store_readers``); these push what changes
to the other hosts of their availability zone.
"""

import asyncio
from collections.abc import Callable
import functools

import mode

from buckthornhold import configurations
from buckthornhold import evacuations
from buckthornhold import logs
from buckthornhold import operator_documents
from buckthornhold import prefix_watchers
from buckthornhold import reasons
from buckthornhold import relay_platforms
from buckthornhold import store_readers
from buckthornhold import stores
from buckthornhold import tasks
from buckthornhold import upstream_directories
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import store_eras

#: Topic of the operator's documents besides the configuration.
ORDERS_TOPIC = "orders"
#: Interval at which a host that has not read the store yet asks its peers for
#: the operator's documents.
SEARCH_INTERVAL_SECONDS = 0.5
#: Replies without documents after which there are none: hosts of earlier
#: builds offer nothing while there are none. Hosts of this build that know of
#: documents are found by a probe within this time.
MAX_EMPTY_REPLIES = 3


class RelayWatchers:
    """Watches the operator's documents and the upstreams' entries."""

    def __init__(
        self,
        *,
        host,
        platform: relay_platforms.Platform,
        store_age: store_readers.StoreAge,
    ) -> None:
        self._host = host
        self._platform = platform
        self._store_age = store_age
        self._orders = operator_documents.OperatorDocuments(
            excluded=platform.configuration_key
        )
        bounds = host.settings.bounds
        bound = min(bounds.config_seconds, bounds.evacuation_seconds)
        self._read_policy = store_readers.StoreReadPolicy(
            max_age_seconds=store_readers.MAX_AGE_SHARE * bound,
            is_small=lambda: host.summaries.full_mesh,
            is_selected=self._is_selected,
            read_age=store_age.read,
            logger=host.logger,
        )
        host.eras.add_part(
            store_eras.Order.DIRECTORY, "directory", host.directory.begin_era
        )
        host.broadcasts.add_topic(
            ORDERS_TOPIC,
            read=self._make_orders_document,
            read_version=lambda: self._orders.version,
            apply=self._apply_orders_document,
        )

    def make_watchers(self) -> list[mode.Service]:
        """Return the services that watch the store."""
        directory = self._host.directory
        return [
            self._make_watcher(
                self._platform.configuration_prefix,
                apply_snapshot=self._apply_snapshot,
                apply_change=self._apply_change,
            ),
            self._make_watcher(
                self._platform.directory_prefix,
                apply_snapshot=self._apply_directory_snapshot,
                apply_change=self._apply_directory_change,
                notify=directory.set_store_reached,
                read_batch_seconds=lambda: directory.batch_seconds,
            ),
            _OrdersSearch(host=self._host, adopt=self._adopt_orders),
        ]

    def is_watcher(self) -> bool:
        """Return whether this host watches the store all the time."""
        return self._read_policy.is_watcher()

    def forget_revisions(self) -> None:
        """Forget the revisions of the operator's documents, but keep these.

        For a store that was restored from a copy.
        """
        self._orders.forget_revisions()

    async def refresh(self) -> None:
        """Read the prefixes again, after a pause of the process."""
        platform = self._platform
        await asyncio.gather(
            self._read(platform.configuration_prefix, self._apply_snapshot),
            self._read(
                platform.directory_prefix, self._apply_directory_snapshot
            ),
        )

    def _is_selected(self) -> bool:
        """Return whether this host watches for its zone or for its duty.

        The holder of the duties decides on the operator's orders.
        """
        return self._host.duty.held or self._host.broadcasts.is_watcher(
            store_readers.PURPOSE
        )

    def _apply_snapshot(self, change: stores.Change) -> None:
        self._apply_documents(change, self._orders.apply_snapshot)

    def _apply_change(self, change: stores.Change) -> None:
        self._apply_documents(change, self._orders.apply_change)

    def _apply_documents(
        self,
        change: stores.Change,
        apply: Callable[[stores.Change], operator_documents.Update],
    ) -> None:
        """Apply the operator's changed documents; push the new ones."""
        version = self._host.configurations.offered_version
        self._host.configurations.apply_change(change)
        update = apply(change)
        self._adopt_orders(update)
        if self._host.configurations.offered_version > version:
            self._publish(configurations.TOPIC)
        if update:
            self._publish(ORDERS_TOPIC)

    def _adopt_orders(self, update: operator_documents.Update) -> None:
        """Let the other parts follow changed orders."""
        self._host.moves.apply_change(
            stores.Change(
                revision=self._orders.version, entries=update.entries
            )
        )
        zones = [
            self._platform.decode_evacuation(entry.key)
            for entry in self._orders.entries
        ]
        evacuations.adopt(
            self._host,
            self._host.placements,
            filter(None, zones),
            origin=f"orders of version {self._orders.version}",
        )

    def _apply_directory_snapshot(self, change: stores.Change) -> None:
        self._apply_to_directory(self._host.directory.apply_snapshot, change)

    def _apply_directory_change(self, change: stores.Change) -> None:
        self._apply_to_directory(self._host.directory.apply_change, change)

    def _apply_to_directory(
        self, apply: Callable[[stores.Change], None], change: stores.Change
    ) -> None:
        """Apply changed entries; push the list if it is another one."""
        version = self._host.directory.version
        apply(change)
        if self._host.directory.version > version:
            self._publish(upstream_directories.TOPIC)

    def _publish(self, topic: str) -> None:
        """Push a document to the zone, if the others don't watch."""
        if not self._host.summaries.full_mesh:
            self._host.broadcasts.publish_in_zone(topic)

    def _make_orders_document(self) -> broadcasts.Document:
        return broadcasts.Document(
            topic=ORDERS_TOPIC,
            version=self._orders.version,
            body=self._orders.make_body(),
        )

    def _apply_orders_document(self, document: broadcasts.Document) -> bool:
        if document.version <= self._orders.version:
            return False
        try:
            update = self._orders.apply_body(
                document.body, version=document.version
            )
        except ValueError as error:
            self._host.logger.bind(step="orders").error(
                f"invalid documents of version {document.version}: {error}"
            )
            return False
        self._adopt_orders(update)
        is_behind = self._orders.version > document.version
        if is_behind or (update and self.is_watcher()):
            # Either the sender still lists documents that were removed, or
            # this watcher won't push the change when the store tells of it.
            self._publish(ORDERS_TOPIC)
        return True

    def _make_watcher(
        self, prefix: str, **options
    ) -> prefix_watchers.PrefixWatcher:
        return prefix_watchers.PrefixWatcher(
            store=self._host.store,
            prefix=prefix,
            watch_seconds=self._host.settings.rules_watch_timeout,
            logger=self._host.logger,
            counters=self._host.counters,
            should_read=functools.partial(
                self._read_policy.should_read, prefix
            ),
            record_answer=functools.partial(
                self._store_age.record_answer, prefix
            ),
            **options,
        )

    async def _read(self, prefix: str, take) -> None:
        change = await self._host.store.list_entries(prefix)
        if isinstance(change, reasons.Failure):
            logs.log_failure(self._host.logger, change)
            return
        take(change)
        self._store_age.record_answer(prefix)


class _OrdersSearch(tasks.PeriodicService):
    """Asks the peers for the operator's documents until they are known.

    A host that starts while it can't read the store gets them from peers.
    ``adopt`` is called if there are none.
    """

    def __init__(
        self,
        *,
        host,
        adopt: Callable[[operator_documents.Update], None],
    ) -> None:
        super().__init__(
            interval=SEARCH_INTERVAL_SECONDS,
            logger=host.logger,
            counters=host.counters,
        )
        self._host = host
        self._adopt = adopt
        self._empty_replies = 0

    async def run_once(self) -> None:
        """Ask some peers, unless the documents are known."""
        if (
            self._host.placements.known
            or not self._host.configurations.version
        ):
            return
        replied = await self._host.broadcasts.pull_from_random_members(
            ORDERS_TOPIC
        )
        if self._host.placements.known or not replied:
            return
        self._empty_replies += 1
        if self._empty_replies < MAX_EMPTY_REPLIES:
            return
        self._logger.bind(step="orders").info(
            "no peer knows of orders by the operator"
        )
        self._adopt(operator_documents.Update())
