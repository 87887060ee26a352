"""Broadcasts over gRPC: how documents travel between hosts."""

import zlib

import grpc
import grpc.aio
import loguru

from buckthornhold import links
from buckthornhold import probes
from buckthornhold import reasons
from buckthornhold.coordination import broadcasts
from buckthornhold.peers import revisions_pb2
from buckthornhold.peers import revisions_pb2_grpc

#: Largest body of a document, in bytes; a few bytes can expand to gigabytes.
MAX_BODY_BYTES = 4 << 20


class BroadcastServicer(revisions_pb2_grpc.BroadcastsServicer):
    """Answers the pushes and pulls of other entry hosts."""

    def __init__(self, *, broadcast: broadcasts.Broadcasts) -> None:
        self._broadcast = broadcast

    async def Push(self, request, context):  # noqa: N802
        """Take in a document."""
        document = read_document(request.document)
        if isinstance(document, reasons.Failure):
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, document.detail
            )
        taken = self._broadcast.handle_push(document, root=request.root)
        return revisions_pb2.PushReply(behind=not taken)

    async def Pull(self, request, context):  # noqa: N802
        """Return the own document if it is newer."""
        document = self._broadcast.handle_pull(
            request.topic, known=request.known
        )
        reply = revisions_pb2.PullReply()
        if document is not None:
            reply.document.CopyFrom(_write_document(document))
        return reply


class GrpcCarrier(broadcasts.Transport):
    """Carries documents over the links; ``timeout`` is in seconds."""

    def __init__(self, *, peer_links: links.Links, timeout: float) -> None:
        self._links = peer_links
        self._timeout = timeout

    async def push(
        self, address: str, document: broadcasts.Document, *, root: str
    ) -> bool | reasons.Failure:
        """Give a document to a host, in the tree below host ``root``."""
        request = revisions_pb2.PushRequest(
            document=_write_document(document), root=root
        )
        reply = await self._call(address, "Push", request)
        if isinstance(reply, reasons.Failure):
            return reply
        return not reply.behind

    async def pull(
        self, address: str, topic: str, *, known: int
    ) -> broadcasts.Document | None | reasons.Failure:
        """Return a host's document if it is newer than version ``known``."""
        request = revisions_pb2.PullRequest(topic=topic, known=known)
        reply = await self._call(address, "Pull", request)
        if isinstance(reply, reasons.Failure):
            return reply
        if not reply.HasField("document"):
            return None
        return read_document(reply.document)

    async def _call(self, address: str, method: str, request):
        channel = self._links.find_channel(address)
        if channel is None:
            return reasons.Failure(
                reason=reasons.Reason.PEER_UNREACHABLE,
                step=method,
                peer=address,
                detail="no link",
            )
        stub = revisions_pb2_grpc.BroadcastsStub(channel)
        try:
            return await getattr(stub, method)(request, timeout=self._timeout)
        except grpc.aio.AioRpcError as error:
            return probes.describe_error(error, step=method, peer=address)


def _write_document(
    document: broadcasts.Document,
) -> revisions_pb2.Document:
    return revisions_pb2.Document(
        topic=document.topic,
        version=document.version,
        body=zlib.compress(document.body.encode()),
        base=document.base,
        digest=document.digest,
    )


def read_document(
    message: revisions_pb2.Document,
) -> broadcasts.Document | reasons.Failure:
    """Return a document from its message, or why it can't be read."""
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(message.body, MAX_BODY_BYTES).decode()
    except (zlib.error, UnicodeDecodeError) as error:
        return _log_malformed(message, f"its body can't be read: {error}")
    if not expander.eof:
        return _log_malformed(
            message, f"its body is cut off or over {MAX_BODY_BYTES} bytes"
        )
    return broadcasts.Document(
        topic=message.topic,
        version=message.version,
        body=body,
        base=message.base if message.HasField("base") else None,
        digest=message.digest,
    )


def _log_malformed(
    message: revisions_pb2.Document, detail: str
) -> reasons.Failure:
    """Log why a document can't be read, and return it as a failure."""
    failure = reasons.Failure(
        reason=reasons.Reason.BAD_REQUEST,
        step="read document",
        detail=f"version {message.version} of {message.topic}: {detail}",
    )
    loguru.logger.bind(step=failure.step, reason=failure.reason.value).warning(
        failure.detail
    )
    return failure


def make_broadcasts(host) -> broadcasts.Broadcasts:
    """Return a host's broadcasts, which travel over its links."""
    return broadcasts.Broadcasts(
        table=host.members,
        transport=GrpcCarrier(
            peer_links=host.links, timeout=host.settings.push_timeout
        ),
        logger=host.logger,
        counters=host.counters,
    )
