"""Configurations: the newest one that this host has seen is in force.

It comes from the store, or from another host when the store does not answer
this one. Within one process its version only rises.
"""

from collections.abc import Callable

from buckthornhold import routes
from buckthornhold import stores
from buckthornhold.coordination import broadcasts

TOPIC = "configuration"


class ActiveConfiguration:
    """Holds the configuration in force and passes it on to other hosts.

    ``decode`` reads the operator's document, which hosts exchange as it is;
    it raises ValueError for one that can't be read. ``key`` is where the
    store has it. ``notify`` is called after each change.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: Callable[[str], routes.Configuration],
        logger,
        notify: Callable[[routes.Configuration], None] = lambda found: None,
    ) -> None:
        self._key = key
        self._decode = decode
        self._logger = logger
        self._notify = notify
        self._text = ""
        self._current: routes.Configuration | None = None

    @property
    def current(self) -> routes.Configuration | None:
        """The configuration in force, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return self._current.version if self._current else 0

    def register_topic(self, broadcast: broadcasts.Broadcasts) -> None:
        """Have hosts that are behind pull the document from this one."""
        broadcast.add_topic(
            TOPIC,
            read=self._make_document,
            read_version=lambda: self.version,
            apply=lambda document: self.apply(document.body, origin="peer"),
        )

    def apply_change(self, change: stores.Change) -> None:
        """Take in what the store has."""
        for entry in change.entries:
            if entry.key == self._key:
                self.apply(entry.value, origin="store")

    def apply(self, text: str, *, origin: str) -> bool:
        """Put a document in force if it is newer; tell whether it was."""
        if text == self._text:
            return False
        logger = self._logger.bind(step="configuration", peer=origin)
        try:
            found = self._decode(text)
        except ValueError as error:
            logger.error(f"the configuration can't be read: {error}")
            return False
        if found.version <= self.version:
            return False
        logger.info(
            f"version {found.version} is in force after {self.version}, "
            f"{len(found.routes)} routes, {len(found.services)} services, "
            f"{len(found.workspaces)} workspaces"
        )
        self._text = text
        self._current = found
        self._notify(found)
        return True

    def _make_document(self) -> broadcasts.Document:
        return broadcasts.Document(
            topic=TOPIC, version=self.version, body=self._text
        )
