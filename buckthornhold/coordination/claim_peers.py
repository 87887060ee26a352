"""Claims between entry hosts: asking a shard's usual writer, and serving."""

import dataclasses

import grpc
import grpc.aio

from buckthornhold import reasons
from buckthornhold.coordination import claim_records
from buckthornhold.peers import claims_pb2
from buckthornhold.peers import claims_pb2_grpc

SubmitResult = claim_records.Decision | reasons.Failure


class ClaimServicer(claims_pb2_grpc.ClaimsServicer):
    """Serves the claims that peers leave to this host.

    ``claims`` is a ``claims.Claims``.
    """

    def __init__(self, *, claims) -> None:
        self._claims = claims

    async def Submit(self, request, context):  # noqa: N802
        """Take one claim or record its outcome."""
        answer = await self._claims.submit_local(_decode_claim(request))
        if isinstance(answer, reasons.Failure):
            failure = claims_pb2.ClaimFailure(
                reason=answer.reason.value,
                ran=answer.ran.value,
                detail=answer.detail,
            )
            return claims_pb2.ClaimReply(failure=failure)
        return claims_pb2.ClaimReply(
            state=answer.state.value, claim=_encode_claim(answer.claim)
        )

    async def Find(self, request, context):  # noqa: N802
        """Tell what this host knows of a claim of its own."""
        found = await self._claims.find_pending(request.change_id)
        message = None if found is None else _encode_claim(found)
        return claims_pb2.OwnerReply(
            incarnation=self._claims.incarnation, claim=message
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerStatus:
    """What the owner's process knows of a claim.

    ``claim`` is None if it has no such claim, or no longer.
    """

    incarnation: int
    claim: claim_records.Claim | None


async def query_owner(
    link, claim: claim_records.Claim, *, timeout: float
) -> OwnerStatus | None:
    """Ask the owner of a claim how it stands; None if it can't be asked."""
    stub = claims_pb2_grpc.ClaimsStub(link.channel)
    try:
        reply = await stub.Find(_encode_claim(claim), timeout=timeout)
    except grpc.aio.AioRpcError:
        return None
    found = None
    if reply.HasField("claim"):
        found = _decode_claim(reply.claim)
    return OwnerStatus(incarnation=reply.incarnation, claim=found)


async def submit_to_peer(
    link, claim: claim_records.Claim, *, timeout: float
) -> SubmitResult:
    """Have a peer take a claim or record its outcome.

    ``link`` has a ``channel`` and the peer's name as ``host``. The failure
    of the call leaves open whether the claim was written.
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
