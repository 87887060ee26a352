"""Relay platforms: what a relay host needs to know of where it runs."""

import abc

import aiohttp
from aiohttp import web

from buckthornhold import connections
from buckthornhold import relay_messages
from buckthornhold import routes
from buckthornhold import stores
from buckthornhold import upstream_directories
from buckthornhold import usages
from buckthornhold.coordination import version_moves


class Platform(abc.ABC):
    """What a relay host needs to know of the platform it runs on."""

    #: Key of the configuration, and the prefix below which it stands.
    configuration_key: str
    configuration_prefix: str
    #: Prefix of the upstreams' entries.
    directory_prefix: str

    @abc.abstractmethod
    def make_store(
        self, session: aiohttp.ClientSession, config
    ) -> stores.Store:
        """Return the client of the platform's store."""

    @abc.abstractmethod
    def decode_configuration(self, text: str) -> routes.Configuration:
        """Read the operator's document; raise ValueError if it is none."""

    @abc.abstractmethod
    def decode_upstream(
        self, name: str, text: str
    ) -> upstream_directories.UpstreamRecord:
        """Read an upstream's entry; raise ValueError if it names none."""

    @abc.abstractmethod
    def decode_move(self, entry: stores.Entry) -> version_moves.Order | None:
        """Read an order to move a service to another version.

        Returns None for an entry that is something else; raises ValueError
        for an order that can't be read.
        """

    @abc.abstractmethod
    def encode_move(self, progress: version_moves.Progress) -> tuple[str, str]:
        """Return the key and the text that tell the operator of a move."""

    @abc.abstractmethod
    def make_upstream_session(self) -> aiohttp.ClientSession:
        """Return the session for requests to upstreams."""

    @abc.abstractmethod
    def make_upstream_client(
        self, session: aiohttp.ClientSession
    ) -> relay_messages.UpstreamClient:
        """Return the client that sends requests to upstreams."""

    @abc.abstractmethod
    def make_duty_calls(
        self, session: aiohttp.ClientSession, config
    ) -> usages.FencedClient:
        """Return the client of the calls that one host makes."""

    @abc.abstractmethod
    def make_caller_server(self, host) -> connections.CallerServer:
        """Return the server of callers' requests."""

    @abc.abstractmethod
    def make_ready_server(self, host) -> web.Server:
        """Return the server of the balancer's questions."""
