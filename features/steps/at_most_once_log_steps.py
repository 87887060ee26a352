"""Steps on claims in the store, with several writers in one process."""

import asyncio
import time
import uuid

import behave

from buckthornhold import clients
from buckthornhold import stores
from buckthornhold.coordination import claim_records
from buckthornhold.coordination import claims
from buckthornhold.standins import platforms

ClaimState = claim_records.ClaimState
RETENTION_SECONDS = 600.0
ANSWER = b"paid"
OUTCOME = claim_records.make_answered_outcome(
    status=200, content_type="text/plain", body=ANSWER, limit=2048
)


class DelayedStore(stores.HttpStore):
    """A store client whose next write can be delayed."""

    def __init__(self, **kwargs) -> None:
        super().__init__(**kwargs)
        self.write_allowed = asyncio.Event()
        self.write_allowed.set()

    async def put(self, key, value, *, expect, lease_id=None):
        """Write a key once writes are allowed."""
        await self.write_allowed.wait()
        return await super().put(key, value, expect=expect, lease_id=lease_id)


class Writers:
    """Claims of several hosts without peer links, on their own platform."""

    def __init__(self, *, count: int, retention: float) -> None:
        self._count = count
        self._retention = retention
        self._loop = asyncio.new_event_loop()
        self.platform = platforms.Platform(address="127.0.0.1:0")
        self.stores: list[DelayedStore] = []
        self.claims: list[claims.Claims] = []
        self.ids: list[str] = []
        self.decisions: list = []

    def run(self, coroutine):
        """Run a coroutine until it completes."""
        return self._loop.run_until_complete(coroutine)

    def start(self) -> None:
        """Start the platform and the writers."""
        self.run(self._start())

    async def _start(self) -> None:
        await self.platform.start()
        self._session = clients.make_session()
        await self.add_writers()

    async def add_writers(self) -> None:
        """Start writers that take the place of those before, if any."""
        self.stores = []
        self.claims = []
        for number in range(self._count):
            store = DelayedStore(
                session=self._session,
                address=self.platform.address,
                timeout=5.0,
            )
            self.stores.append(store)
            self.claims.append(
                claims.Claims(
                    store=store,
                    host=f"host-{number}",
                    incarnation=1,
                    shards=1,
                    retention=self._retention,
                    write_rate=1000.0,
                    timeout=10.0,
                    peer_timeout=1.0,
                )
            )

    def stop(self) -> None:
        """Stop everything."""
        self.run(self._session.close())
        self.run(self.platform.stop())

    async def acquire(self, number, request_id, *, made_at=None):
        """Acquire an id with a writer, numbered from 1."""
        claimer = self.claims[number - 1]
        claim = claimer.make_claim(
            request_id, digest="d", seconds_left=10.0, made_at=made_at
        )
        return await claimer.acquire(claim)

    async def finish(self, number, request_id, *, made_at=None):
        """Acquire an id and record its answer."""
        decision = await self.acquire(number, request_id, made_at=made_at)
        assert decision.state is ClaimState.ACQUIRED, decision
        claimer = self.claims[number - 1]
        assert await claimer.record_outcome(decision.claim, OUTCOME) is None

    async def list_keys(self):
        """Return the keys of the store."""
        change = await self.stores[0].list_entries("claims/")
        return [entry.key for entry in change.entries]


@behave.fixture
def run_writers(context, count, retention):
    writers = Writers(count=count, retention=retention)
    writers.start()
    try:
        yield writers
    finally:
        writers.stop()


@behave.given("{count:d} claim writers of one store")
def make_writers(context, count):
    context.writers = behave.use_fixture(
        run_writers, context, count, RETENTION_SECONDS
    )


@behave.given(
    "{count:d} claim writers of one store that retain claims for {seconds:g} "
    "seconds"
)
def make_short_retention_writers(context, count, seconds):
    context.writers = behave.use_fixture(run_writers, context, count, seconds)


def make_ids(count):
    return [uuid.uuid4().hex for _ in range(count)]


@behave.when("both acquire the same {count:d} ids concurrently")
def acquire_by_both(context, count):
    writers = context.writers
    writers.ids = make_ids(count)

    async def run():
        return await asyncio.gather(
            *[
                writers.acquire(number, request_id)
                for request_id in writers.ids
                for number in (1, 2)
            ]
        )

    writers.decisions = writers.run(run())


@behave.then("each of these ids was acquired once and held once")
def check_acquired_once(context):
    decisions = context.writers.decisions
    assert decisions
    for first, second in zip(decisions[::2], decisions[1::2], strict=True):
        states = {first.state, second.state}
        assert states == {ClaimState.ACQUIRED, ClaimState.HELD}, (
            first,
            second,
        )


@behave.when(
    "writer 1 acquires {count:d} ids in sequence and records their answers"
)
def finish_ids(context, count):
    writers = context.writers
    writers.before = writers.run(read_state(writers))
    writers.ids = make_ids(count)

    async def run():
        for request_id in writers.ids:
            await writers.finish(1, request_id)

    writers.run(run())


async def read_state(writers):
    async with clients.make_session() as session:
        url = f"http://{writers.platform.address}/dump"
        async with session.get(url) as response:
            return await response.json()


@behave.when("the store is restored to its previous state")
def restore_store(context):
    writers = context.writers

    async def run():
        async with clients.make_session() as session:
            url = f"http://{writers.platform.address}/restore"
            async with session.post(url, json=writers.before) as response:
                assert response.status == 200

    writers.run(run())


@behave.then("the store has sealed segments")
def check_sealed(context):
    keys = context.writers.run(context.writers.list_keys())
    assert any("/sealed/" in key for key in keys), keys


@behave.then("writer {number:d} finds each of these ids held with its answer")
def check_answers(context, number):
    writers = context.writers
    for request_id in writers.ids:
        decision = writers.run(writers.acquire(number, request_id))
        assert decision.state is ClaimState.HELD, decision
        assert decision.claim.outcome.body == ANSWER, decision


@behave.then("writer {number:d} finds each of these ids held")
def check_held(context, number):
    writers = context.writers
    for request_id in writers.ids:
        decision = writers.run(writers.acquire(number, request_id))
        assert decision.state is ClaimState.HELD, decision


@behave.given("the next write of writer 1 is delayed")
def delay_write(context):
    context.writers.stores[0].write_allowed.clear()


@behave.when("writer 1 acquires an id")
def begin_acquire(context):
    writers = context.writers
    writers.ids = make_ids(1)

    async def run():
        task = asyncio.ensure_future(writers.acquire(1, writers.ids[0]))
        await asyncio.sleep(0.1)
        return task

    context.delayed_acquire = writers.run(run())


@behave.when("writer 2 acquires that id and {count:d} others")
def overtake(context, count):
    writers = context.writers
    for request_id in [*writers.ids, *make_ids(count)]:
        decision = writers.run(writers.acquire(2, request_id))
        assert decision.state is ClaimState.ACQUIRED, decision


@behave.when("the delayed write continues")
def release_write(context):
    context.writers.stores[0].write_allowed.set()


@behave.then("writer 1 finds the id held")
def check_overtaken(context):
    decision = context.writers.run(context.delayed_acquire)
    assert decision.state is ClaimState.HELD, decision


@behave.when("writer 1 acquires an id and abandons it")
def acquire_and_abandon(context):
    writers = context.writers
    writers.ids = make_ids(1)

    async def run():
        decision = await writers.acquire(1, writers.ids[0])
        return await writers.claims[0].abandon(decision.claim)

    assert writers.run(run()).state is ClaimState.ABANDONED


@behave.then("writer 2 acquires that id")
def check_acquired_after_abandon(context):
    writers = context.writers
    decision = writers.run(writers.acquire(2, writers.ids[0]))
    assert decision.state is ClaimState.ACQUIRED, decision


@behave.then("writer 1 finds the id held when it tries to acquire it again")
def check_not_acquired_twice(context):
    writers = context.writers
    decision = writers.run(writers.acquire(1, writers.ids[0]))
    assert decision.state is ClaimState.HELD, decision


@behave.when("writer 1 abandons an attempt before its claim is written")
def abandon_before_write(context):
    writers = context.writers
    claim = writers.claims[0].make_claim(
        uuid.uuid4().hex, digest="d", seconds_left=10.0
    )
    context.abandoned = claim
    decision = writers.run(writers.claims[0].abandon(claim))
    assert decision.state is ClaimState.ABANDONED, decision


@behave.then("writer 2 reports the claim of that attempt as abandoned")
def check_abandoned(context):
    writers = context.writers
    decision = writers.run(writers.claims[1].submit_local(context.abandoned))
    assert decision.state is ClaimState.ABANDONED, decision


@behave.when(
    "writer 1 acquires {count:d} ids with timestamps and records their answers"
)
def finish_timed_ids(context, count):
    writers = context.writers
    for request_id in make_ids(count):
        made_at = time.time()
        writers.ids.append(request_id)
        if len(writers.ids) == 1:
            context.first_made_at = made_at
        writers.run(writers.finish(1, request_id, made_at=made_at))


@behave.when("the writers wait {seconds:g} seconds")
def wait(context, seconds):
    time.sleep(seconds)


@behave.then("the store has fewer than {count:d} of these claims")
def check_deleted(context, count):
    writers = context.writers
    state = writers.run(read_state(writers))
    text = "".join(entry["value"] for entry in state["entries"].values())
    kept = sum(request_id in text for request_id in writers.ids)
    assert 0 < kept < count, kept


@behave.then("writer 2 rejects the first of these ids as expired")
def check_expired(context):
    writers = context.writers
    decision = writers.run(
        writers.acquire(2, writers.ids[0], made_at=context.first_made_at)
    )
    assert decision.state is ClaimState.EXPIRED, decision


@behave.when("writer 1 acquires ids for {seconds:g} seconds")
def acquire_for(context, seconds):
    writers = context.writers

    async def run():
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            request_id = uuid.uuid4().hex
            writers.ids.append(request_id)
            await writers.finish(1, request_id)

    writers.run(run())


@behave.then("writer 1 has fewer than half of them in memory")
def check_memory(context):
    writers = context.writers
    assert writers.claims[0].size < len(writers.ids) / 2, (
        writers.claims[0].size,
        len(writers.ids),
    )
