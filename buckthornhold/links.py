"""Links: this host's gRPC connections to the other entry hosts."""

import time

import grpc.aio

from buckthornhold import settings
from buckthornhold import tasks
from buckthornhold import traffic
from buckthornhold.coordination import members

#: A channel that was not used for so long is closed. The few that probes,
#: holders and writers use stay open, and memory follows what is in use.
IDLE_SECONDS = 20.0
SWEEP_INTERVAL = 5.0
#: How long calls on a channel that was replaced may still wait, in seconds.
REPLACED_GRACE_SECONDS = 5.0
#: A repeated call must be this project's decision, never the library's.
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
)


class Link:
    """The connection to one incarnation of another entry host.

    A call without an answer in time may mean that the connection went silent
    while a new one would work, so the next call is made on a new channel.
    """

    def __init__(
        self,
        *,
        member: members.Member,
        address: str,
        counted: traffic.Traffic,
        closing: tasks.TaskSet,
    ) -> None:
        self._member = member
        self._address = address
        self._traffic = counted
        self._closing = closing
        self._channel: traffic.CountedChannel | None = None
        self._used_at = 0.0

    @property
    def member(self) -> members.Member:
        """What the host at the other end last said of itself."""
        return self._member

    @property
    def host(self) -> str:
        """Name of the host at the other end."""
        return self._member.host

    @property
    def zone(self) -> str:
        """Availability zone of the host at the other end."""
        return self._member.zone

    @property
    def incarnation(self) -> int:
        """Incarnation of the host at the other end."""
        return self._member.incarnation

    @property
    def address(self) -> str:
        """The published address of the host at the other end."""
        return self._member.address

    @property
    def channel(self) -> grpc.aio.Channel:
        """The gRPC channel, opened at first use and when it was closed.

        To be asked for at each use, which keeps it open for a while.
        """
        self._used_at = time.monotonic()
        if self._channel is not None and self._channel.silent:
            replaced, self._channel = self._channel, None
            self._closing.start(replaced.close(REPLACED_GRACE_SECONDS))
        if self._channel is None:
            self._channel = open_channel(self._address, self._traffic)
        return self._channel

    @property
    def is_open(self) -> bool:
        """Whether the link has a channel now."""
        return self._channel is not None

    @property
    def is_idle(self) -> bool:
        """Whether the link has a channel that nobody needs."""
        return (
            self._channel is not None
            and not self._channel.open_calls
            and time.monotonic() - self._used_at > IDLE_SECONDS
        )

    def update(self, member: members.Member) -> None:
        """Take in what the host now says of itself."""
        self._member = member

    async def close_unused(self) -> None:
        """Close the channel unless a call waits on it.

        For whoever asks many hosts once: memory that all their channels
        took at a time would not be given back.
        """
        if self._channel is not None and not self._channel.open_calls:
            await self.close()

    async def close(self) -> None:
        """Close the channel; its next use opens another."""
        channel, self._channel = self._channel, None
        if channel is not None:
            await channel.close()


class Links(tasks.PeriodicService):
    """The links to all members that are not gone.

    A link is there as soon as its host was heard of from itself or a peer,
    and for as long as the host is not gone, also while it is doubted.
    """

    def __init__(
        self,
        *,
        config: settings.Settings,
        counted: traffic.Traffic,
        logger,
        counters,
    ) -> None:
        super().__init__(
            interval=SWEEP_INTERVAL, logger=logger, counters=counters
        )
        self._settings = config
        self._traffic = counted
        self._links: dict[str, Link] = {}
        self._closing = tasks.TaskSet(logger=logger, counters=counters)

    def list_all(self) -> list[Link]:
        """Return the links to all other entry hosts."""
        return list(self._links.values())

    def list_zone(self, zone: str) -> list[Link]:
        """Return the links to the other entry hosts of a zone."""
        return [link for link in self._links.values() if link.zone == zone]

    def find(self, host: str) -> Link | None:
        """Return the link to a host by its name."""
        return self._links.get(host)

    def find_channel(self, address: str) -> grpc.aio.Channel | None:
        """Return the channel of the link to a published address."""
        for link in self._links.values():
            if link.address == address:
                return link.channel
        return None

    def open_channel(self, address: str) -> grpc.aio.Channel:
        """Open a channel to a published address; the caller closes it."""
        return open_channel(self._settings.translate(address), self._traffic)

    async def run_once(self) -> None:
        """Close the channels that nobody has used for a while."""
        for link in self._links.values():
            if link.is_idle:
                self._closing.start(link.close())

    def take_member(self, member: members.Member) -> None:
        """Open, keep or close the link to a member that has changed."""
        link = self._links.get(member.host)
        same = link is not None and (
            (link.member.key, link.address) == (member.key, member.address)
        )
        if link is not None and same:
            link.update(member)
        if link is not None and (
            not same or member.state is members.MemberState.GONE
        ):
            del self._links[member.host]
            self._closing.start(link.close())
        if member.state is members.MemberState.GONE or same:
            return
        self._links[member.host] = Link(
            member=member,
            address=self._settings.translate(member.address),
            counted=self._traffic,
            closing=self._closing,
        )

    async def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.close()
        self._links.clear()
        await self._closing.wait()


def open_channel(
    address: str, counted: traffic.Traffic
) -> traffic.CountedChannel:
    """Open a channel without retries whose messages are counted."""
    return counted.wrap_channel(
        grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
    )
