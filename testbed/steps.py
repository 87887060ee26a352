"""Entry hosts in one process that break at an exact step of a call."""

import asyncio
import contextlib
import json

from buckthornhold import daemons
from buckthornhold import reasons
from buckthornhold import services
from buckthornhold import settings
from buckthornhold import stores
from buckthornhold.coordination import claims
from buckthornhold.standins import platforms
from buckthornhold.standins import services as service_standins

BEFORE_CLAIM = "before the claim"
CLAIM_WRITTEN = "claim written"
CLAIMED = "claimed"
CONNECTING = "connecting"
SENT = "sent"
ANSWERED = "answered"
RECORDED = "recorded"
FAULTS = ("killed", "frozen", "cut", "off store", "answer lost")
#: A call's time and the host's bounds are short here, in seconds.
DEADLINE = 0.6
CLAIM_TIMEOUT = 0.3
PEER_TIMEOUT = 0.1
RULES = (
    "call service=entries-app operation=pay repeat=no "
    f"deadline={DEADLINE:g}s  # asked by: a scenario\n"
)


class Gate:
    """Brings one fault over one host at one step, once.

    A killed or frozen host does nothing from that step on, a frozen one
    goes on when it is mended. A host that is cut off reaches neither the
    store nor its peers until it is mended.
    """

    def __init__(self, *, fault: str = "", step: str = "") -> None:
        assert not fault or fault in FAULTS, fault
        self._fault = fault
        self._step = step
        self._mended = asyncio.Event()
        self.reached = asyncio.Event()

    @property
    def cut(self) -> bool:
        """Whether the host is cut off now."""
        return self._is_on and self._fault == "cut"

    @property
    def off_store(self) -> bool:
        """Whether the host doesn't reach the store now."""
        return self._is_on and self._fault in ("cut", "off store")

    @property
    def _is_on(self) -> bool:
        return self.reached.is_set() and not self._mended.is_set()

    @property
    def stopped(self) -> bool:
        """Whether the host does nothing now."""
        return self._is_on and self._fault in ("killed", "frozen")

    def mend(self) -> None:
        """End the fault."""
        self._mended.set()

    async def enter(self, step: str) -> bool:
        """Pass a step; tells whether the fault begins here."""
        begins = bool(self._fault) and step == self._step
        begins = begins and not self.reached.is_set()
        if begins:
            self.reached.set()
        await self.wait()
        return begins

    async def wait(self) -> None:
        """Wait while the host does nothing."""
        if self.stopped:
            await self._mended.wait()


class SteppedStore(stores.HttpStore):
    """A store's client that breaks at the writes of claims."""

    def __init__(self, *, gate: Gate, **kwargs) -> None:
        super().__init__(**kwargs)
        self._gate = gate

    async def get(self, key):
        """Read a key, unless the host is cut off."""
        await self._gate.wait()
        if self._gate.off_store:
            return _lose("get")
        return await super().get(key)

    async def put(self, key, value, *, expect, lease_id=None):
        """Write a key, with the fault at the step that this write is."""
        if not key.endswith("/open"):
            return await super().put(
                key, value, expect=expect, lease_id=lease_id
            )
        ended = "outcome" in json.loads(value)["claims"][-1]
        await self._gate.enter(ANSWERED if ended else BEFORE_CLAIM)
        if self._gate.off_store:
            return _lose("put")
        result = await super().put(key, value, expect=expect)
        if await self._gate.enter(RECORDED if ended else CLAIM_WRITTEN):
            return _lose("put")
        return result


class SteppedClaims(claims.Claims):
    """Claims that break between a claim and its sending."""

    def __init__(self, *, gate: Gate, **kwargs) -> None:
        super().__init__(**kwargs)
        self._gate = gate
        self._own_name = kwargs["host"]

    async def acquire(self, claim):
        """Take a claim."""
        verdict = await super().acquire(claim)
        await self._gate.enter(CLAIMED)
        return verdict

    async def find_pending(self, change_id):
        """Tell a peer of a claim, unless the host is broken."""
        if self._gate.cut:
            await asyncio.Event().wait()
        await self._gate.wait()
        return await super().find_pending(change_id)

    async def submit_local(self, claim):
        """Write a claim; peers get no answer from a host that is broken."""
        if claim.host != self._own_name and self._gate.cut:
            await asyncio.Event().wait()
        await self._gate.wait()
        return await super().submit_local(claim)


class SteppedService(services.PlainService):
    """A plain service whose answer the host may not come to see."""

    def __init__(self, *, gate: Gate, inner: services.PlainService) -> None:
        self._gate = gate
        self._inner = inner

    @property
    def address(self) -> str:
        """The service's address, as ``IP:port``."""
        return self._inner.address

    async def call(self, call, *, timeout, mark_sent=None):
        """Send a call."""
        await self._gate.enter(CONNECTING)
        answer = await self._inner.call(
            call, timeout=timeout, mark_sent=mark_sent
        )
        await self._gate.enter(SENT)
        return answer


class SteppedHost(daemons.EntryHost):
    """An entry host with a gate at each step of a claimed call."""

    def __init__(self, *, gate: Gate, config: settings.Settings) -> None:
        super().__init__(config=config)
        self.gate = gate

    @property
    def address(self) -> str:
        """The callers' address."""
        return self.settings.listen.callers

    def make_store(self, session, address):
        """Return the store's client with the gate."""
        return SteppedStore(
            gate=self.gate,
            session=session,
            address=address,
            timeout=self.settings.platform_timeout,
            eras=self.eras,
        )

    def make_claims(self):
        """Return the claims with the gate."""
        config = self.settings
        return SteppedClaims(
            gate=self.gate,
            store=self.store,
            host=config.host,
            incarnation=self.incarnation,
            shards=config.claim_shards,
            retention=config.claim_retention,
            write_rate=config.claim_write_rate,
            timeout=config.claim_timeout,
            peer_timeout=config.claim_peer_timeout,
            list_links=self.links.list_all,
            report_error=lambda error: self.logger.error(repr(error)),
        )

    def gate_services(self) -> None:
        """Put the gate between the host and its plain services."""
        for upstream in self.upstreams.list_all():
            upstream.service = SteppedService(
                gate=self.gate, inner=upstream.service
            )


class SteppedFleet:
    """Two entry hosts, a plain service and the platform in one loop.

    The first host has the gate. It is the usual writer of all claims if
    ``writer`` is 1, else the second is.
    """

    def __init__(self, *, prefix: str, gate: Gate, writer: int = 1) -> None:
        self._prefix = prefix
        self._writer = writer
        self.gate = gate
        self.service = service_standins.PlainService(
            address=f"{prefix}.1:7100"
        )
        self.platform = platforms.Platform(address=f"{prefix}.2:7200")
        self.hosts: list[SteppedHost] = []

    def list_runs(self, request_id: str) -> list[dict]:
        """Return the service's executions of a request."""
        return [
            execution
            for execution in self.service.executions
            if execution["request_id"] == request_id
        ]

    async def start(self) -> None:
        """Start everything and wait until the hosts are ready."""
        self.platform = platforms.Platform(
            address=self.platform.address,
            options={"hosts": [self._make_record(self.service, "service")]},
        )
        await self.service.start()
        await self.platform.start()
        gates = (self.gate, Gate())
        # Rendezvous hashing over one shard makes one name the writer.
        names = sorted(
            ("entry-1", "entry-2"),
            key=lambda name: claims.rank_writer(0, name),
            reverse=self._writer == 1,
        )
        for number, (name, gate) in enumerate(zip(names, gates, strict=True)):
            config = self._make_settings(name, number + 3)
            self.hosts.append(SteppedHost(gate=gate, config=config))
        for host in self.hosts:
            await host.start()
        await self.hosts[1].changes.propose(RULES, who="scenario")
        await self._wait_ready()
        for host in self.hosts:
            host.gate_services()

    async def stop(self) -> None:
        """Stop everything."""
        self.gate.mend()
        for host in self.hosts:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    await host.stop()
        await self.platform.stop()
        await self.service.stop()

    async def _wait_ready(self) -> None:
        for host in self.hosts:
            while not (host.ready and host.upstreams.list_all()):
                await asyncio.sleep(0.01)
            other = next(it for it in self.hosts if it is not host)
            while host.links.find(other.settings.host) is None:
                await asyncio.sleep(0.01)

    def _make_settings(self, name: str, number: int) -> settings.Settings:
        ip = f"{self._prefix}.{number}"
        return settings.Settings(
            host=name,
            zone="zone-a",
            listen=settings.Listen(
                callers=f"{ip}:7001",
                operators=f"{ip}:7002",
                peers=f"{ip}:7003",
            ),
            platform=self.platform.address,
            seeds=(f"{self._prefix}.3:7003", f"{self._prefix}.4:7003"),
            platform_timeout=0.3,
            host_list_interval=60.0,
            rules_watch_timeout=0.3,
            rules_retry_interval=0.05,
            claim_shards=1,
            claim_timeout=CLAIM_TIMEOUT,
            claim_peer_timeout=PEER_TIMEOUT,
            drain_timeout=0.5,
        )

    def _make_record(self, stand_in, kind: str) -> dict:
        return {
            "host": kind,
            "kind": kind,
            "zone": "zone-a",
            "host_class": "reclaimable",
            "address": stand_in.address,
            "incarnation": 1,
            "serves": ["entries-app"],
        }


def _lose(step: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.STORE_UNAVAILABLE,
        step=step,
        ran=reasons.Ran.UNKNOWN,
        detail="cut off",
    )
