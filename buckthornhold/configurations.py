"""Configurations: the newest one that this host has seen is active.

It comes from the store, or from a peer while this host can't reach the store.
Within one process its version only rises. When the store was restored from a
copy, the lost version stays in force on the hosts that have it, and they no
longer offer it to others: these get what the store has.
"""

from collections.abc import Callable

from buckthornhold import routes
from buckthornhold import stores
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import store_eras

TOPIC = "configuration"
#: Versions of the operator for each era of the store; JSON numbers are exact
#: up to this.
VERSIONS_PER_ERA = 2**53


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
        #: The latest era in which the store had the active document.
        self._era = 0
        #: The newest document that the store had, and its topic's version.
        self._offered_text = ""
        self._offered_version = 0
        self._current: routes.Configuration | None = None

    @property
    def current(self) -> routes.Configuration | None:
        """The active configuration, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def offered_version(self) -> int:
        """Version of the document for other hosts, with the store's era."""
        return self._offered_version

    def count_workspaces(self) -> int:
        """Return how many workspaces there are."""
        return len(self._current.workspaces) if self._current else 0

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Let hosts with an older version pull the document from this one."""
        broadcast.add_topic(
            TOPIC,
            read=self._make_document,
            read_version=lambda: self._offered_version,
            apply=self._apply_document,
        )

    def apply_change(self, change: stores.Change) -> None:
        """Apply the document if it is among the store's changed entries."""
        for entry in change.entries:
            if entry.key == self._key:
                era = store_eras.find_era(entry.version)
                self.apply(entry.value, origin="store", era=era)

    def apply(
        self,
        text: str,
        *,
        origin: str,
        era: int = 0,
        topic_version: int | None = None,
    ) -> bool:
        """Activate a document if it is newer; return whether it is news.

        ``origin`` says where it came from, for the log. ``era`` is the one in
        which the store had it; it follows from ``topic_version``.
        """
        if text == self._text and topic_version is None and era <= self._era:
            return False
        logger = self._logger.bind(step="configuration", peer=origin)
        try:
            configuration = self._decode(text)
        except ValueError as error:
            logger.error(f"invalid configuration: {error}")
            return False
        if topic_version is not None:
            era = max(0, topic_version - configuration.version)
            era //= VERSIONS_PER_ERA
        is_news = self._offer(text, configuration.version, era)
        is_replaced = configuration.version > self.version or (
            configuration.version == self.version
            and era > self._era
            and text != self._text
        )
        if is_replaced:
            self._activate(text, configuration, logger)
        elif era > self._era and text != self._text:
            logger.warning(
                f"version {self.version} stays active, the restored store "
                f"has version {configuration.version}"
            )
        if text == self._text:
            self._era = max(self._era, era)
        return is_news or is_replaced

    def _activate(self, text, configuration, logger) -> None:
        logger.info(
            f"version {configuration.version} replaces {self.version}, "
            f"{len(configuration.routes)} routes, "
            f"{len(configuration.services)} services, "
            f"{len(configuration.workspaces)} workspaces"
        )
        self._text = text
        self._current = configuration
        self._era = 0
        self._notify(configuration)

    def _offer(self, text: str, version: int, era: int) -> bool:
        """Offer a document to other hosts if it is newer than the offered."""
        topic_version = era * VERSIONS_PER_ERA + version
        if topic_version <= self._offered_version:
            return False
        self._offered_text = text
        self._offered_version = topic_version
        return True

    def _apply_document(self, document: broadcasts.Document) -> bool:
        if document.version <= self._offered_version:
            return False
        return self.apply(
            document.body, origin="peer", topic_version=document.version
        )

    def _make_document(self) -> broadcasts.Document:
        return broadcasts.Document(
            topic=TOPIC,
            version=self._offered_version,
            body=self._offered_text,
        )
