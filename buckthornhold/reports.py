"""Reports: the view of one host, and of the fleet through its peers."""

import asyncio
import collections
import dataclasses
import json
import os

import grpc
import grpc.aio

from buckthornhold import links
from buckthornhold import reasons
from buckthornhold.peers import reports_pb2
from buckthornhold.peers import reports_pb2_grpc

REPORT_TIMEOUT = 2.0
PEERS_AT_ONCE = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostReport:
    """What one entry host told, or why it could not be asked.

    ``status`` is its state as the operators' port shows it; ``uses`` are
    the upstreams that it has requests on or gives no new work.
    """

    host: str
    zone: str
    revision: int = 0
    status: dict | None = None
    uses: tuple[reports_pb2.UpstreamUse, ...] = ()
    request: dict | None = None
    failure: reasons.Failure | None = None


def describe_host(host) -> dict:
    """Return one host's own state, without the upstreams."""
    return {
        "host": host.settings.host,
        "zone": host.settings.zone,
        "incarnation": host.incarnation,
        "ready": host.ready,
        "draining": host.admissions.draining,
        "in_flight": host.admissions.in_flight,
        "revision": host.revisions.current.number,
        "store_reached": host.revisions.store_reached,
    }


def describe_versions(host) -> dict:
    """Return moves, withdrawals, poison requests and evacuated zones.

    They are as one host knows them.
    """
    return {
        **host.moves.describe(),
        "poison": host.quarantines.describe(),
        "evacuated": sorted(host.upstreams.placements.evacuated),
    }


def describe_upstreams(host) -> list[dict]:
    """Return the upstreams as one host sees them."""
    return [
        {
            "host": upstream.name,
            "incarnation": upstream.record.incarnation,
            "zone": upstream.record.zone,
            "host_class": upstream.record.host_class,
            "kind": upstream.record.kind.value,
            "serves": upstream.record.serves,
            "in_flight": upstream.in_flight,
            "leaving": upstream.leaving,
            "drained": host.rules.is_drained(upstream.name),
            "evacuated": not host.upstreams.placements.allows(
                upstream.record.zone
            ),
        }
        for upstream in host.upstreams.list_all()
    ]


def describe_process(host) -> dict:
    """Return counts that tell whether anything is left behind.

    ``memory`` is the resident memory in kB.
    """
    return {
        "host": host.settings.host,
        "pid": os.getpid(),
        "tasks": len(asyncio.all_tasks()),
        "caller_connections": len(host.caller_server.connections),
        "in_flight": host.admissions.in_flight,
        "upstream_in_flight": sum(
            upstream.in_flight for upstream in host.upstreams.list_all()
        ),
        "memory": _measure_memory(),
    }


def merge_upstreams(upstreams: list[dict], found: list[HostReport]) -> None:
    """Put what the peers told of upstreams into one host's view."""
    in_flight: collections.Counter[tuple[str, int]] = collections.Counter()
    leaving = set()
    for report in found:
        for use in report.uses:
            key = (use.host, use.incarnation)
            in_flight[key] += use.in_flight
            if use.leaving:
                leaving.add(key)
    for upstream in upstreams:
        key = (upstream["host"], upstream["incarnation"])
        upstream["in_flight"] = in_flight[key]
        upstream["leaving"] = upstream["leaving"] or key in leaving


def _list_uses(host) -> list[reports_pb2.UpstreamUse]:
    return [
        reports_pb2.UpstreamUse(
            host=upstream.name,
            incarnation=upstream.record.incarnation,
            in_flight=upstream.in_flight,
            leaving=upstream.leaving,
        )
        for upstream in host.upstreams.list_all()
        if upstream.in_flight or upstream.leaving
    ]


def _measure_memory() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


class ReportServicer(reports_pb2_grpc.ReportsServicer):
    """Tells peers what this host would show its operators."""

    def __init__(self, *, host) -> None:
        self._host = host

    async def Report(self, request, context):  # noqa: N802
        """Answer one peer."""
        found = None
        if request.request_id:
            found = self._host.recents.describe(request.request_id)
        return reports_pb2.ReportReply(
            **describe_host(self._host),
            upstreams=[] if request.brief else _list_uses(self._host),
            request_json=json.dumps(found) if found else "",
        )


class Reports:
    """Asks this host and every peer it knows for their reports."""

    def __init__(self, *, host) -> None:
        self._host = host

    async def gather(
        self, *, request_id: str = "", brief: bool = True
    ) -> list[HostReport]:
        """Return one report for each known entry host, by host name.

        Without ``brief`` they name the upstreams in use.
        """
        request = reports_pb2.ReportRequest(request_id=request_id, brief=brief)
        slots = asyncio.Semaphore(PEERS_AT_ONCE)
        found = await asyncio.gather(
            *[
                self._ask(link, slots, request)
                for link in self._host.links.list_all()
            ]
        )
        found.append(self._report_own(request_id))
        found += self._report_unheard({it.host for it in found})
        return sorted(found, key=lambda report: report.host)

    def _report_own(self, request_id: str) -> HostReport:
        return HostReport(
            host=self._host.settings.host,
            zone=self._host.settings.zone,
            revision=self._host.revisions.current.number,
            status=describe_host(self._host),
            uses=tuple(_list_uses(self._host)),
            request=self._host.recents.describe(request_id),
        )

    def _report_unheard(self, heard: set[str]) -> list[HostReport]:
        """Return hosts of the platform's list without a link to them."""
        return [
            HostReport(
                host=record.host,
                zone=record.zone,
                failure=reasons.Failure(
                    reason=reasons.Reason.PEER_UNREACHABLE,
                    step="report",
                    peer=record.host,
                    detail="on the host list, but not heard of",
                ),
            )
            for record in self._host.upstreams.entry_hosts
            if record.host not in heard
        ]

    async def _ask(
        self,
        link: links.Link,
        slots: asyncio.Semaphore,
        request: reports_pb2.ReportRequest,
    ) -> HostReport:
        async with slots:
            was_open = link.is_open
            stub = reports_pb2_grpc.ReportsStub(link.channel)
            try:
                reply = await stub.Report(request, timeout=REPORT_TIMEOUT)
            except grpc.aio.AioRpcError as error:
                failure = reasons.Failure(
                    reason=reasons.Reason.PEER_UNREACHABLE,
                    step="report",
                    peer=link.host,
                    detail=error.code().name.lower(),
                )
                return HostReport(
                    host=link.host, zone=link.zone, failure=failure
                )
            finally:
                if not was_open:
                    await link.close_unused()
        return _read_reply(reply)


def _read_reply(reply: reports_pb2.ReportReply) -> HostReport:
    request = json.loads(reply.request_json) if reply.request_json else None
    return HostReport(
        host=reply.host,
        zone=reply.zone,
        revision=reply.revision,
        status={
            "host": reply.host,
            "zone": reply.zone,
            "incarnation": reply.incarnation,
            "ready": reply.ready,
            "draining": reply.draining,
            "in_flight": reply.in_flight,
            "revision": reply.revision,
            "store_reached": reply.store_reached,
        },
        uses=tuple(reply.upstreams),
        request=request,
    )
