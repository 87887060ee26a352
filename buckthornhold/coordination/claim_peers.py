"""Claim calls between entry hosts: the gRPC servicer and its clients."""

import dataclasses

import grpc
import grpc.aio
import loguru

from buckthornhold import reasons
from buckthornhold.coordination import claim_records
from buckthornhold.peers import claims_pb2
from buckthornhold.peers import claims_pb2_grpc

SubmitResult = claim_records.Decision | reasons.Failure


class ClaimServicer(claims_pb2_grpc.ClaimsServicer):
    """Serves claims that peers submit and queries of claims held here.

    ``claims`` is a ``claims.Claims``.
    """

    def __init__(self, *, claims) -> None:
        self._claims = claims

    async def Submit(self, request, context):  # noqa: N802
        """Acquire a claim or record its outcome."""
        result = await self._claims.submit_local(_decode_claim(request))
        if isinstance(result, reasons.Failure):
            failure = claims_pb2.ClaimFailure(
                reason=result.reason.value,
                ran=result.ran.value,
                detail=result.detail,
            )
            return claims_pb2.ClaimReply(failure=failure)
        return claims_pb2.ClaimReply(
            state=result.state.value, claim=_encode_claim(result.claim)
        )

    async def Find(self, request, context):  # noqa: N802
        """Return a claim of this host whose outcome isn't in the store."""
        found = await self._claims.find_pending(request.change_id)
        message = None if found is None else _encode_claim(found)
        return claims_pb2.OwnerReply(
            incarnation=self._claims.incarnation, claim=message
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerStatus:
    """An owner's incarnation and its unrecorded claim.

    ``claim`` is None if the owner's process doesn't have it, or no longer.
    """

    incarnation: int
    claim: claim_records.Claim | None


async def query_owner(
    link, claim: claim_records.Claim, *, timeout: float
) -> OwnerStatus | None:
    """Query the owner of a claim; None if the call fails."""
    stub = claims_pb2_grpc.ClaimsStub(link.channel)
    try:
        reply = await stub.Find(_encode_claim(claim), timeout=timeout)
    except grpc.aio.AioRpcError as error:
        loguru.logger.bind(
            step="find claim",
            peer=link.host,
            reason=reasons.Reason.PEER_UNREACHABLE.value,
        ).debug(error.details())
        return None
    found = None
    if reply.HasField("claim"):
        found = _decode_claim(reply.claim)
    return OwnerStatus(incarnation=reply.incarnation, claim=found)


async def submit_to_peer(
    link, claim: claim_records.Claim, *, timeout: float
) -> SubmitResult:
    """Submit a claim or its outcome to a peer.

    ``link`` has a ``channel`` and the peer's name as ``host``. If the call
    fails, it is unknown whether the claim was written.
    """
    stub = claims_pb2_grpc.ClaimsStub(link.channel)
    try:
        reply = await stub.Submit(_encode_claim(claim), timeout=timeout)
    except grpc.aio.AioRpcError as error:
        return reasons.Failure(
            reason=reasons.Reason.PEER_UNREACHABLE,
            step="claim",
            peer=link.host,
            ran=reasons.Ran.UNKNOWN,
            detail=f"{error.code().name}: {error.details()}",
        )
    if reply.HasField("failure"):
        return reasons.Failure(
            reason=reasons.Reason(reply.failure.reason),
            step="claim",
            peer=link.host,
            ran=reasons.Ran(reply.failure.ran),
            detail=reply.failure.detail,
        )
    return claim_records.Decision(
        state=claim_records.ClaimState(reply.state),
        claim=_decode_claim(reply.claim),
    )


def _encode_claim(claim: claim_records.Claim) -> claims_pb2.ClaimMessage:
    values = _list_fields(claim)
    outcome = values.pop("outcome")
    if outcome is not None:
        message = claims_pb2.OutcomeMessage(**_list_fields(outcome))
        values["outcome"] = message
    return claims_pb2.ClaimMessage(**values)


def _decode_claim(message: claims_pb2.ClaimMessage) -> claim_records.Claim:
    values = {
        field.name: getattr(message, field.name)
        for field in dataclasses.fields(claim_records.Claim)
    }
    values["outcome"] = None
    if message.HasField("outcome"):
        values["outcome"] = _decode_outcome(message.outcome)
    return claim_records.Claim(**values)


def _decode_outcome(message) -> claim_records.Outcome:
    values = {
        field.name: getattr(message, field.name)
        for field in dataclasses.fields(claim_records.Outcome)
    }
    values["kind"] = claim_records.OutcomeKind(message.kind)
    if not message.HasField("body"):
        values["body"] = None
    return claim_records.Outcome(**values)


def _list_fields(record) -> dict:
    return {
        field.name: getattr(record, field.name)
        for field in dataclasses.fields(record)
    }
