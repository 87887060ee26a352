"""Relay watchers: the prefixes of the store that a relay host watches."""

import asyncio

import mode

from buckthornhold import logs
from buckthornhold import prefix_watchers
from buckthornhold import reasons
from buckthornhold import relay_platforms
from buckthornhold import stores


class RelayWatchers:
    """Watches the operator's documents and the upstreams' entries."""

    def __init__(self, *, host, platform: relay_platforms.Platform) -> None:
        self._host = host
        self._platform = platform

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
                apply_snapshot=directory.apply_snapshot,
                apply_change=directory.apply_change,
                notify=directory.set_store_reached,
                read_batch_seconds=lambda: directory.batch_seconds,
            ),
        ]

    async def refresh(self) -> None:
        """Read the prefixes again, after a pause of the process."""
        platform = self._platform
        await asyncio.gather(
            self._read(platform.configuration_prefix, self._apply_documents),
            self._read(
                platform.directory_prefix, self._host.directory.apply_snapshot
            ),
        )

    def _apply_documents(self, change: stores.Change) -> None:
        """Apply the operator's changed documents."""
        self._host.configurations.apply_change(change)
        self._host.moves.apply_change(change)

    def _make_watcher(
        self, prefix: str, **options
    ) -> prefix_watchers.PrefixWatcher:
        return prefix_watchers.PrefixWatcher(
            store=self._host.store,
            prefix=prefix,
            watch_seconds=self._host.settings.rules_watch_timeout,
            logger=self._host.logger,
            counters=self._host.counters,
            **options,
        )

    async def _read(self, prefix: str, take) -> None:
        change = await self._host.store.list_entries(prefix)
        if isinstance(change, reasons.Failure):
            logs.log_failure(self._host.logger, change)
            return
        take(change)
