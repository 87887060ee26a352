"""Configurations: the newest one that this host has seen is active.

It comes from the store, or from a peer while this host can't reach the store.
Within one process its version only rises.
"""

from collections.abc import Callable

from buckthornhold import routes
from buckthornhold import stores
from buckthornhold.coordination import broadcasts

TOPIC = "configuration"


class ActiveConfiguration:
    """Holds the active configuration and offers it to other hosts.

    ``decode`` parses the operator's document, which hosts exchange unchanged;
    it raises ValueError for an invalid one. ``key`` is its key in the store.
    ``notify`` is called after each change.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: Callable[[str], routes.Configuration],
        logger,
        notify: Callable[[routes.Configuration], None] = lambda current: None,
    ) -> None:
        self._key = key
        self._decode = decode
        self._logger = logger
        self._notify = notify
        self._text = ""
        self._current: routes.Configuration | None = None

    @property
    def current(self) -> routes.Configuration | None:
        """The active configuration, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 before the first."""
        return self._current.version if self._current else 0

    def count_workspaces(self) -> int:
        """Return how many workspaces there are."""
        return len(self._current.workspaces) if self._current else 0

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Let hosts with an older version pull the document from this one."""
        broadcast.add_topic(
            TOPIC,
            read=self._make_document,
            read_version=lambda: self.version,
            apply=lambda document: self.apply(document.body, origin="peer"),
        )

    def apply_change(self, change: stores.Change) -> None:
        """Apply the document if it is among the store's changed entries."""
        for entry in change.entries:
            if entry.key == self._key:
                self.apply(entry.value, origin="store")

    def apply(self, text: str, *, origin: str) -> bool:
        """Activate a document if it is newer; return whether it was.

        ``origin`` says where it came from, for the log.
        """
        if text == self._text:
            return False
        logger = self._logger.bind(step="configuration", peer=origin)
        try:
            configuration = self._decode(text)
        except ValueError as error:
            logger.error(f"invalid configuration: {error}")
            return False
        if configuration.version <= self.version:
            return False
        logger.info(
            f"version {configuration.version} replaces {self.version}, "
            f"{len(configuration.routes)} routes, "
            f"{len(configuration.services)} services, "
            f"{len(configuration.workspaces)} workspaces"
        )
        self._text = text
        self._current = configuration
        self._notify(configuration)
        return True

    def _make_document(self) -> broadcasts.Document:
        return broadcasts.Document(
            topic=TOPIC, version=self.version, body=self._text
        )
