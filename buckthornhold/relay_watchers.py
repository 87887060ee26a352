"""Relay watchers: the prefixes of the store that a relay host watches.

They hold the operator's documents and the upstreams' entries. In a large
fleet only some hosts watch them (``store_readers``); these push what changes
to the other hosts of their availability zone.
"""

import asyncio
from collections.abc import Callable
import functools
import json

import mode

from buckthornhold import configurations
from buckthornhold import logs
from buckthornhold import prefix_watchers
from buckthornhold import reasons
from buckthornhold import relay_platforms
from buckthornhold import store_readers
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import store_eras

#: Topic of the operator's documents besides the configuration.
ORDERS_TOPIC = "orders"


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
        #: The operator's documents besides the configuration, by key.
        self._orders: dict[str, stores.Entry] = {}
        bound = host.settings.bounds.config_seconds
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
            read_version=self._read_orders_version,
            apply=self._apply_orders_document,
        )

    def make_watchers(self) -> list[mode.Service]:
        """Return the services that watch the store."""
        directory = self._host.directory
        return [
            self._make_watcher(
                self._platform.configuration_prefix,
                apply_snapshot=self._apply_documents,
                apply_change=self._apply_documents,
            ),
            self._make_watcher(
                self._platform.directory_prefix,
                apply_snapshot=self._apply_directory_snapshot,
                apply_change=self._apply_directory_change,
                notify=directory.set_store_reached,
                read_batch_seconds=lambda: directory.batch_seconds,
            ),
        ]

    def is_watcher(self) -> bool:
        """Return whether this host watches the store all the time."""
        return self._read_policy.is_watcher()

    async def refresh(self) -> None:
        """Read the prefixes again, after a pause of the process."""
        platform = self._platform
        await asyncio.gather(
            self._read(platform.configuration_prefix, self._apply_documents),
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

    def _apply_documents(self, change: stores.Change) -> None:
        """Apply the operator's changed documents; push the new ones."""
        configuration_version = self._host.configurations.offered_version
        orders_version = self._read_orders_version()
        self._host.configurations.apply_change(change)
        self._apply_orders(change)
        if self._host.configurations.offered_version > configuration_version:
            self._publish(configurations.TOPIC)
        if self._read_orders_version() > orders_version:
            self._publish(ORDERS_TOPIC)

    def _apply_orders(self, change: stores.Change) -> None:
        for entry in change.entries:
            if entry.key != self._platform.configuration_key:
                self._orders[entry.key] = entry
        self._host.moves.apply_change(change)

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

    def _read_orders_version(self) -> int:
        return max(
            (entry.version for entry in self._orders.values()), default=0
        )

    def _make_orders_document(self) -> broadcasts.Document:
        body = {
            entry.key: [entry.version, entry.value]
            for entry in self._orders.values()
        }
        return broadcasts.Document(
            topic=ORDERS_TOPIC,
            version=self._read_orders_version(),
            body=json.dumps(body),
        )

    def _apply_orders_document(self, document: broadcasts.Document) -> bool:
        if document.version <= self._read_orders_version():
            return False
        entries = tuple(
            stores.Entry(key=key, value=value, version=version)
            for key, (version, value) in json.loads(document.body).items()
        )
        self._apply_orders(
            stores.Change(revision=document.version, entries=entries)
        )
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
