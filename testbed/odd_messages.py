"""Odd messages: what no entry host sends to another, as messages by gRPC."""

import math
import zlib

import grpc
import grpc.aio

from buckthornhold.peers import claims_pb2
from buckthornhold.peers import evidence_pb2
from buckthornhold.peers import handovers_pb2
from buckthornhold.peers import members_pb2
from buckthornhold.peers import reports_pb2
from buckthornhold.peers import revisions_pb2
from buckthornhold.peers import summaries_pb2
from buckthornhold.peers import upstreams_pb2

CALL_TIMEOUT_SECONDS = 2.0
SERVICES = {
    "Tell": "Summaries",
    "Probe": "Members",
    "ProbeFor": "Members",
    "Push": "Broadcasts",
    "Pull": "Broadcasts",
    "PushFacts": "Evidence",
    "ExchangeFacts": "Evidence",
    "CollectTallies": "Evidence",
    "MarkLeaving": "Upstreams",
    "Hold": "Handovers",
    "Update": "Handovers",
    "Take": "Handovers",
    "Submit": "Claims",
    "Report": "Reports",
}
EMPTY_MESSAGES = {
    "Tell": summaries_pb2.Summary,
    "Probe": members_pb2.ProbeMessage,
    "ProbeFor": members_pb2.IndirectRequest,
    "Push": revisions_pb2.PushRequest,
    "Pull": revisions_pb2.PullRequest,
    "PushFacts": evidence_pb2.FactList,
    "ExchangeFacts": evidence_pb2.FactDigest,
    "CollectTallies": evidence_pb2.CollectRequest,
    "MarkLeaving": upstreams_pb2.MarkLeavingRequest,
    "Hold": handovers_pb2.HoldRequest,
    "Update": handovers_pb2.UpdateRequest,
    "Take": handovers_pb2.FindRequest,
    "Submit": claims_pb2.ClaimMessage,
    "Report": reports_pb2.ReportRequest,
}
BROKEN_BYTES = b"\xff\xff\xff\xffno message"
UNKNOWN_STATE = 77
EXPANDED_SIZE = 64 << 20
FAR_WINDOW = 1 << 62
MAX_COUNT = (1 << 32) - 1


def make_summary(**fields):
    """Return a sound summary of another process with some other fields."""
    values = {
        "host": "another",
        "zone": "a",
        "incarnation": 1,
        "number": 1,
        "time_of_day": 1.8e9,
        **fields,
    }
    return summaries_pb2.Summary(**values)


def make_summary_with_use(units):
    """Return a summary that reports units of a workspace."""
    summary = make_summary(number=2)
    summary.uses.add(workspace="shops", units=units)
    return summary


def make_probe(**fields):
    """Return a probe whose sender's record has these fields."""
    values = {
        "host": "another",
        "zone": "a",
        "address": "127.0.0.1:9",
        "incarnation": 1,
        **fields,
    }
    return members_pb2.ProbeMessage(sender=members_pb2.MemberRecord(**values))


def make_push(body, *, topic="rules"):
    """Return a push of a document that is newer than any other."""
    document = revisions_pb2.Document(topic=topic, version=1 << 40, body=body)
    return revisions_pb2.PushRequest(document=document, root="another")


def make_facts(**fields):
    """Return a push of one fact on poison with some other fields."""
    values = {"key": "poison/abc", "rank": [1], "value": "{}", **fields}
    return evidence_pb2.FactList(
        host="another", facts=[evidence_pb2.Fact(**values)]
    )


def make_far_counts():
    """Return a summary with the counts of a window far ahead."""
    summary = make_summary()
    summary.counts.add(window=FAR_WINDOW, counts={"shops": MAX_COUNT})
    return summary


def make_short_tallies():
    """Return a summary with fewer counts than a tally has."""
    summary = make_summary()
    summary.tallies.add(move="m", step=1, group="g", counts=[1])
    return summary


def make_departure(seconds_left):
    """Return the departure of an engine that is not listed."""
    request = upstreams_pb2.MarkLeavingRequest(relay=True)
    request.departures.add(
        host="engine-none", incarnation=1, seconds_left=seconds_left
    )
    return request


def make_hold(**fields):
    """Return a request to hold a record with some other fields."""
    values = {"request_id": "r", "digest": "d", "entry_host": "e", **fields}
    return handovers_pb2.HoldRequest(
        record=handovers_pb2.HandoverRecord(**values)
    )


def make_claim(**fields):
    """Return a claim of another process with some other fields."""
    values = {"request_id": "r", "digest": "d", "host": "e", **fields}
    return claims_pb2.ClaimMessage(**values)


FAULTS = {
    "a departure in no number of seconds": lambda: make_departure(math.nan),
    "a departure without an end": lambda: make_departure(math.inf),
    "a departure of long ago": lambda: make_departure(-1e18),
    "a prompt that is none": lambda: make_hold(prompt=b"\xff\xfe"),
    "an unknown engine": lambda: make_hold(upstream="none", model="none"),
    "a time that is none": lambda: make_claim(time=math.nan, until=math.inf),
    "an outcome of no kind": lambda: make_claim(
        outcome=claims_pb2.OutcomeMessage(kind="?", status=4_000_000_000)
    ),
    "a time that is no number": lambda: make_summary(time_of_day=math.nan),
    "an endless time": lambda: make_summary(time_of_day=math.inf),
    "a time before 1970": lambda: make_summary(time_of_day=-1e18),
    "units that are no number": lambda: make_summary_with_use(math.nan),
    "endless units": lambda: make_summary_with_use(math.inf),
    "units below zero": lambda: make_summary_with_use(-1e18),
    "a demand that is no number": lambda: make_summary(
        demands={"models": math.nan}
    ),
    "an endless demand": lambda: make_summary(demands={"models": math.inf}),
    "a million hosts": lambda: make_summary(hosts=1_000_000),
    "tallies that are too short": make_short_tallies,
    "counts of a far window": make_far_counts,
    "an age that is no number": lambda: make_summary(store_age=math.nan),
    "an age below zero": lambda: make_summary(store_age=-1e9),
    "an unknown state": lambda: make_probe(state=UNKNOWN_STATE),
    "an address that is none": lambda: make_probe(address="nowhere"),
    "a host without a name": lambda: make_probe(host="", address=""),
    "a body that is not compressed": lambda: make_push(b"plain"),
    "a body that is no text": lambda: make_push(zlib.compress(b"\xff\xfe")),
    "a body that expands to 64 MB": lambda: make_push(
        zlib.compress(b" " * EXPANDED_SIZE)
    ),
    "a configuration that is none": lambda: make_push(
        zlib.compress(b"[[[17"), topic="configuration"
    ),
    "an unknown topic": lambda: revisions_pb2.PullRequest(topic="unknown"),
    "a fact without a rank": lambda: make_facts(rank=[]),
    "a fact that is no poison entry": lambda: make_facts(value="[[[17"),
    "a fact that expires at no number": lambda: make_facts(expires=math.nan),
}


def make_messages(method, fault):
    """Return the bytes to send, in order."""
    if fault == "bytes that are no message":
        return [BROKEN_BYTES]
    if fault == "nothing":
        return [EMPTY_MESSAGES[method]().SerializeToString()]
    message = FAULTS[fault]()
    if method == "Tell":
        # Only the increase since a process's first summary counts.
        first = make_summary(incarnation=message.incarnation, number=0)
        first.uses.add(workspace="shops", units=0.0)
        message.number = 1
        return [first.SerializeToString(), message.SerializeToString()]
    return [message.SerializeToString()]


async def send(address, method, messages):
    """Send messages; the errors of the calls are the sender's."""
    async with grpc.aio.insecure_channel(address) as channel:
        call = channel.unary_unary(
            f"/buckthornhold.{SERVICES[method]}/{method}"
        )
        for message in messages:
            try:
                await call(message, timeout=CALL_TIMEOUT_SECONDS)
            except grpc.aio.AioRpcError as error:
                assert error.code() not in (
                    grpc.StatusCode.UNAVAILABLE,
                    grpc.StatusCode.DEADLINE_EXCEEDED,
                    grpc.StatusCode.UNIMPLEMENTED,
                ), error


class OddPeer(grpc.GenericRpcHandler):
    """Answers each call of a host with the same bytes."""

    def __init__(self, reply: bytes) -> None:
        self._reply = reply

    def service(self, handler_call_details):
        """Return the handler of any method."""

        async def answer(request, context):
            return self._reply

        return grpc.unary_unary_rpc_method_handler(answer)


async def serve_odd_peer(address: str, fault: str) -> grpc.aio.Server:
    """Listen at an address like a host whose replies are malformed."""
    replies = {"replies that are no messages": BROKEN_BYTES}
    reply = replies.get(fault) or FAULTS[fault]().SerializeToString()
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    server.add_generic_rpc_handlers((OddPeer(reply),))
    server.add_insecure_port(address)
    await server.start()
    return server
