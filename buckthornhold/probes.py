"""Probes over gRPC: how members reach each other."""

from collections.abc import Callable
from collections.abc import Iterable

import grpc
import grpc.aio
import loguru

from buckthornhold import links
from buckthornhold import reasons
from buckthornhold import settings
from buckthornhold.coordination import failure_detectors
from buckthornhold.coordination import members
from buckthornhold.peers import members_pb2
from buckthornhold.peers import members_pb2_grpc

#: How the library words an address at which no process listens.
REFUSAL_WORDS = ("refused", "reset", "closed")
MALFORMED_DETAIL = "the sender's record is malformed"


class ProbeServicer(members_pb2_grpc.MembersServicer):
    """Answers the probes of other entry hosts."""

    def __init__(
        self, *, prober: failure_detectors.FailureDetector, table
    ) -> None:
        self._prober = prober
        self._table = table

    async def Probe(self, request, context):  # noqa: N802
        """Take in a probe and answer it."""
        message = _read_message(request)
        if message is None:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, MALFORMED_DETAIL
            )
        return _write_message(self._prober.handle_probe(message))

    async def ProbeFor(self, request, context):  # noqa: N802
        """Probe a host on behalf of the caller."""
        failure = await self._prober.handle_indirect_probe(request.host)
        refused = (
            failure is not None
            and failure.reason is reasons.Reason.PEER_REFUSED
        )
        return members_pb2.IndirectReply(
            answered=failure is None, refused=refused
        )

    async def ListMembers(self, request, context):  # noqa: N802
        """Return every record."""
        return members_pb2.ListMembersReply(
            members=[write_member(it) for it in self._table.list_records()]
        )


class GrpcPeers(failure_detectors.ProbeTransport):
    """Reaches peers over the links; unknown ones over a new connection.

    ``timeout`` is in seconds and bounds each call.
    """

    def __init__(self, *, peer_links: links.Links, timeout: float) -> None:
        self._links = peer_links
        self._timeout = timeout

    async def probe(
        self, address: str, message: failure_detectors.ProbeMessage
    ) -> failure_detectors.ProbeMessage | reasons.Failure:
        """Send a message to an address and return the answer."""
        reply = await self._call(
            address, "Probe", _write_message(message), self._timeout
        )
        if isinstance(reply, reasons.Failure):
            return reply
        message = _read_message(reply)
        if message is None:
            return reasons.Failure(
                reason=reasons.Reason.PEER_UNREACHABLE,
                step="Probe",
                peer=address,
                detail=MALFORMED_DETAIL,
            )
        return message

    async def probe_indirectly(
        self, address: str, host: str
    ) -> reasons.Failure | None:
        """Have the host at an address probe ``host``; None if it answers."""
        request = members_pb2.IndirectRequest(host=host)
        reply = await self._call(
            address, "ProbeFor", request, 2 * self._timeout
        )
        if isinstance(reply, reasons.Failure):
            return reply
        if reply.answered:
            return None
        reason = reasons.Reason.PEER_UNREACHABLE
        if reply.refused:
            reason = reasons.Reason.PEER_REFUSED
        return reasons.Failure(
            reason=reason, step="probe for another", peer=host
        )

    async def list_members(
        self, address: str
    ) -> list[members.Member] | reasons.Failure:
        """Return every record of the host at an address."""
        request = members_pb2.ListMembersRequest()
        reply = await self._call(
            address, "ListMembers", request, self._timeout
        )
        if isinstance(reply, reasons.Failure):
            return reply
        return _read_members(reply.members)

    async def _call(self, address: str, method: str, request, timeout: float):
        channel = self._links.find_channel(address)
        if channel is not None:
            return await self._call_on(
                channel, address, method, request, timeout
            )
        channel = self._links.open_channel(address)
        try:
            return await self._call_on(
                channel, address, method, request, timeout
            )
        finally:
            await channel.close()

    async def _call_on(self, channel, address, method, request, timeout):
        stub = members_pb2_grpc.MembersStub(channel)
        try:
            return await getattr(stub, method)(request, timeout=timeout)
        except grpc.aio.AioRpcError as error:
            return describe_error(error, step=method, peer=address)


def describe_error(
    error: grpc.aio.AioRpcError, *, step: str, peer: str
) -> reasons.Failure:
    """Return a call's error as a failure.

    ``PEER_REFUSED`` means that no process listens at the address.
    """
    detail = error.details() or ""
    reason = reasons.Reason.PEER_UNREACHABLE
    ran = reasons.Ran.UNKNOWN
    if error.code() is grpc.StatusCode.UNAVAILABLE and any(
        word in detail.lower() for word in REFUSAL_WORDS
    ):
        reason = reasons.Reason.PEER_REFUSED
    return reasons.Failure(
        reason=reason, step=step, peer=peer, ran=ran, detail=detail
    )


def write_member(member: members.Member) -> members_pb2.MemberRecord:
    """Return a member as its protobuf message."""
    return members_pb2.MemberRecord(
        host=member.host,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=int(member.state),
        doubt=int(member.doubt),
    )


def read_member(record: members_pb2.MemberRecord) -> members.Member | None:
    """Return a member from its protobuf message, None if it is malformed."""
    try:
        if not record.host:
            raise ValueError("it has no name")
        return members.Member(
            host=record.host,
            zone=record.zone,
            address=settings.check_address(record.address),
            incarnation=record.incarnation,
            sequence=record.sequence,
            state=members.MemberState(record.state),
            doubt=members.Doubt(record.doubt),
        )
    except ValueError as error:
        loguru.logger.bind(step="read member", peer=record.host).warning(
            f"record at {record.address!r} ignored: {error}"
        )
        return None


def _read_members(
    records: Iterable[members_pb2.MemberRecord],
) -> list[members.Member]:
    """Return the members from their messages, without malformed ones."""
    found = [read_member(record) for record in records]
    return [member for member in found if member is not None]


def _write_message(
    message: failure_detectors.ProbeMessage,
) -> members_pb2.ProbeMessage:
    return members_pb2.ProbeMessage(
        sender=write_member(message.sender),
        updates=[write_member(it) for it in message.updates],
        topics=message.topics,
        digests=message.digests,
    )


def _read_message(
    message: members_pb2.ProbeMessage,
) -> failure_detectors.ProbeMessage | None:
    """Return a probe from its message, None if its sender is malformed."""
    sender = read_member(message.sender)
    if sender is None:
        return None
    return failure_detectors.ProbeMessage(
        sender=sender,
        updates=tuple(_read_members(message.updates)),
        topics=dict(message.topics),
        digests=dict(message.digests),
    )


def make_prober(
    host, read_state: Callable[[], members.MemberState]
) -> failure_detectors.FailureDetector:
    """Return a host's failure detector, which probes over its links."""
    config = host.settings
    return failure_detectors.FailureDetector(
        table=host.members,
        transport=GrpcPeers(
            peer_links=host.links, timeout=config.probe_timeout
        ),
        pause_detector=host.pauses,
        seeds=config.seeds,
        read_state=read_state,
        interval=config.probe_interval,
        logger=host.logger,
        counters=host.counters,
    )
