"""Entry hosts that aren't started, with stub engines, for direct calls."""

import asyncio
import time
import uuid

from buckthornhold import attempt_plans
from buckthornhold import daemons
from buckthornhold import hosts
from buckthornhold import prompt_prefixes
from buckthornhold import request_contracts
from buckthornhold import settings
from buckthornhold import upstreams
from buckthornhold.coordination import revisions
from testbed import admission_benches

MODEL = admission_benches.MODEL
ZONES = tuple(f"zone-{number}" for number in range(5))
CLASSES = ("on-demand", "reclaimable", "reclaimable")
DEADLINE_SECONDS = 60.0
RULES = f"serve model={MODEL} version=v1  # asked by: a measurement\n"
ADDRESS = "127.0.0.1:1"


class OfflineEntryHost(daemons.EntryHost):
    """Plans and admits requests without running tasks or listeners.

    Load reports come at once from ``admission_benches.StubEngine``.
    """

    def __init__(self, **values) -> None:
        super().__init__(
            config=settings.Settings(
                host="entry-0",
                zone=ZONES[0],
                platform=ADDRESS,
                listen={
                    "callers": ADDRESS,
                    "operators": ADDRESS,
                    "peers": ADDRESS,
                },
                **values,
            )
        )
        self._number = 0

    def adopt_rules(self, text: str) -> None:
        """Adopt rules as the next revision."""
        self._number += 1
        self._adopt_rules(
            revisions.Revision(
                number=self._number,
                change_id=uuid.uuid4().hex,
                text=text,
                who="bench",
                time=0.0,
            )
        )

    def apply_generated_hosts(
        self, *, engine_count: int, host_count: int = 1
    ) -> None:
        """Apply a host list with some numbers of engines and entry hosts."""
        records = [
            make_engine_record(number) for number in range(engine_count)
        ]
        records += [make_entry_record(number) for number in range(host_count)]
        self.apply_hosts(tuple(records))

    def apply_hosts(self, records: tuple[hosts.HostRecord, ...]) -> None:
        """Apply a host list with some records."""
        self.upstreams.apply_listing(hosts.Listing(hosts=records, notices=()))
        for upstream in self.upstreams.list_all():
            if not isinstance(upstream.engine, admission_benches.StubEngine):
                upstream.engine = admission_benches.StubEngine()

    async def refresh_loads(self) -> None:
        """Fetch a load report of each engine."""
        for upstream in self.upstreams.list_all():
            self.loads.refresh(upstream)
        await self.await_load_reports()

    async def await_load_reports(self) -> None:
        """Wait until the requested load reports have arrived."""
        for _ in range(admission_benches.REPORT_LOOP_ITERATIONS):
            await asyncio.sleep(0)

    def make_contract(
        self, tokens: int, *, prefix: str = ""
    ) -> request_contracts.RequestContract:
        """Return the contract of a request with a new prompt."""
        prompt = (prefix + uuid.uuid4().hex) * tokens
        prompt = prompt[: (tokens - 1) * prompt_prefixes.CHARS_PER_TOKEN]
        return request_contracts.RequestContract(
            request_id=uuid.uuid4().hex,
            workspace="booth",
            route=MODEL,
            deadline=time.monotonic() + DEADLINE_SECONDS,
            prefix=prompt[: request_contracts.PREFIX_CHARACTERS],
            blocks=prompt_prefixes.list_blocks(prompt),
            prompt_tokens=prompt_prefixes.count_tokens(prompt),
        )

    def plan_attempt(self, contract: request_contracts.RequestContract):
        """Return the first attempt of a request."""
        plan = attempt_plans.AttemptPlan(host=self, contract=contract, epoch=0)
        return plan.make_attempt()

    def admit(self, attempt, *, max_tokens: int = 20):
        """Return the admission or refusal of an attempt."""
        return self.admission_policy.admit(
            attempt.contract, max_tokens=max_tokens, attempt=attempt
        )


async def make_host(
    *, engine_count: int, host_count: int = 1, **values
) -> OfflineEntryHost:
    """Return an entry host that has load reports of its engines."""
    entry_host = OfflineEntryHost(**values)
    await entry_host.on_first_start()
    entry_host.adopt_rules(RULES)
    entry_host.apply_generated_hosts(
        engine_count=engine_count, host_count=host_count
    )
    await entry_host.refresh_loads()
    return entry_host


def make_engine_record(number: int) -> hosts.HostRecord:
    """Return the host-list record of an engine."""
    return hosts.HostRecord(
        host=f"engine-{number:04}",
        kind=hosts.HostKind.ENGINE,
        zone=ZONES[number % len(ZONES)],
        host_class=CLASSES[number % len(CLASSES)],
        address=ADDRESS,
        incarnation=1,
        serves=(f"{MODEL}@v1",),
    )


def make_entry_record(number: int) -> hosts.HostRecord:
    """Return the host-list record of an entry host."""
    return hosts.HostRecord(
        host=f"entry-{number}",
        kind=hosts.HostKind.ENTRY,
        zone=ZONES[number % len(ZONES)],
        host_class="on-demand",
        address=ADDRESS,
        peer_address=ADDRESS,
        incarnation=1,
    )


def list_names(found: list[upstreams.Upstream]) -> list[str]:
    """Return the names of upstreams."""
    return [upstream.name for upstream in found]
