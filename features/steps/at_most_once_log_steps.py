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

State = claim_records.ClaimState
KEEP_SECONDS = 600.0
ANSWER = b"paid"
OUTCOME = claim_records.make_answered_outcome(
    status=200, content_type="text/plain", body=ANSWER, limit=2048
)


class HeldStore(stores.HttpStore):
    """A store's client whose next write can be held up on its way."""

    def __init__(self, **kwargs) -> None:
        super().__init__(**kwargs)
        self.go_on = asyncio.Event()
        self.go_on.set()

    async def put(self, key, value, *, expect, lease_id=None):
        """Write a key."""
        await self.go_on.wait()
        return await super().put(key, value, expect=expect, lease_id=lease_id)


class Writers:
    """Claims of several hosts without links, on a platform of their own."""

    def __init__(self, *, count: int, retention: float) -> None:
        self._count = count
        self._retention = retention
        self._loop = asyncio.new_event_loop()
        self.platform = platforms.Platform(address="127.0.0.1:0")
        self.stores: list[HeldStore] = []
        self.claims: list[claims.Claims] = []
        self.ids: list[str] = []
        self.verdicts: list = []

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self._loop.run_until_complete(coroutine)

    def start(self) -> None:
        """Start the platform and the writers."""
        self.run(self._start())

    async def _start(self) -> None:
        await self.platform.start()
        self._session = clients.make_session()
        for number in range(self._count):
            store = HeldStore(
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
        """Take an id by a writer, counted from 1."""
        taker = self.claims[number - 1]
        claim = taker.make_claim(
            request_id, digest="d", seconds_left=10.0, made_at=made_at
        )
        return await taker.acquire(claim)

    async def finish(self, number, request_id, *, made_at=None):
        """Take an id and record its answer."""
        verdict = await self.acquire(number, request_id, made_at=made_at)
        assert verdict.state is State.ACQUIRED, verdict
        taker = self.claims[number - 1]
        assert await taker.record_outcome(verdict.claim, OUTCOME) is None

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
        run_writers, context, count, KEEP_SECONDS
    )


@behave.given(
    "{count:d} claim writers of one store that keep claims for "
    "{seconds:g} seconds"
)
def make_forgetful_writers(context, count, seconds):
    context.writers = behave.use_fixture(run_writers, context, count, seconds)


def make_ids(count):
    return [uuid.uuid4().hex for _ in range(count)]


@behave.when("both take the same {count:d} ids at once")
def take_by_both(context, count):
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

    writers.verdicts = writers.run(run())


@behave.then("each of these ids was taken once and held once")
def check_taken_once(context):
    verdicts = context.writers.verdicts
    assert verdicts
    for first, second in zip(verdicts[::2], verdicts[1::2], strict=True):
        states = {first.state, second.state}
        assert states == {State.ACQUIRED, State.HELD}, (first, second)


@behave.when(
    "writer 1 takes {count:d} ids one after another and records their answers"
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
        async with session.get(url) as answer:
            return await answer.json()


@behave.when("the store is set back to its state before")
def set_store_back(context):
    writers = context.writers

    async def run():
        async with clients.make_session() as session:
            url = f"http://{writers.platform.address}/restore"
            async with session.post(url, json=writers.before) as answer:
                assert answer.status == 200

    writers.run(run())


@behave.then("the store has sealed segments")
def check_sealed(context):
    keys = context.writers.run(context.writers.list_keys())
    assert any("/sealed/" in key for key in keys), keys


@behave.then("writer {number:d} finds each of these ids held with its answer")
def check_answers(context, number):
    writers = context.writers
    for request_id in writers.ids:
        verdict = writers.run(writers.acquire(number, request_id))
        assert verdict.state is State.HELD, verdict
        assert verdict.claim.outcome.body == ANSWER, verdict


@behave.then("writer {number:d} holds each of these ids")
def check_held(context, number):
    writers = context.writers
    for request_id in writers.ids:
        verdict = writers.run(writers.acquire(number, request_id))
        assert verdict.state is State.HELD, verdict


@behave.given("the next write of writer 1 is held up")
def hold_write(context):
    context.writers.stores[0].go_on.clear()


@behave.when("writer 1 takes an id")
def begin_take(context):
    writers = context.writers
    writers.ids = make_ids(1)

    async def run():
        task = asyncio.ensure_future(writers.acquire(1, writers.ids[0]))
        await asyncio.sleep(0.1)
        return task

    context.held_take = writers.run(run())


@behave.when("writer 2 takes that id and {count:d} others")
def overtake(context, count):
    writers = context.writers
    for request_id in [*writers.ids, *make_ids(count)]:
        verdict = writers.run(writers.acquire(2, request_id))
        assert verdict.state is State.ACQUIRED, verdict


@behave.when("the write that was held up goes on")
def release_write(context):
    context.writers.stores[0].go_on.set()


@behave.then("writer 1 is told that the id is held")
def check_overtaken(context):
    verdict = context.writers.run(context.held_take)
    assert verdict.state is State.HELD, verdict


@behave.when("writer 1 takes an id and gives it up")
def take_and_give_up(context):
    writers = context.writers
    writers.ids = make_ids(1)

    async def run():
        verdict = await writers.acquire(1, writers.ids[0])
        return await writers.claims[0].abandon(verdict.claim)

    assert writers.run(run()).state is State.ABANDONED


@behave.then("writer 2 takes that id")
def check_taken_over(context):
    writers = context.writers
    verdict = writers.run(writers.acquire(2, writers.ids[0]))
    assert verdict.state is State.ACQUIRED, verdict


@behave.then("writer 1 is told that the id is held when it takes it anew")
def check_not_taken_twice(context):
    writers = context.writers
    verdict = writers.run(writers.acquire(1, writers.ids[0]))
    assert verdict.state is State.HELD, verdict


@behave.when("writer 1 gives up an attempt before its claim is written")
def give_up_first(context):
    writers = context.writers
    claim = writers.claims[0].make_claim(
        uuid.uuid4().hex, digest="d", seconds_left=10.0
    )
    context.given_up = claim
    verdict = writers.run(writers.claims[0].abandon(claim))
    assert verdict.state is State.ABANDONED, verdict


@behave.then("the claim of that attempt is told as given up by writer 2")
def check_given_up(context):
    writers = context.writers
    verdict = writers.run(writers.claims[1].submit_local(context.given_up))
    assert verdict.state is State.ABANDONED, verdict


@behave.when(
    "writer 1 takes {count:d} ids with their times and records their answers"
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
def check_dropped(context, count):
    writers = context.writers
    state = writers.run(read_state(writers))
    text = "".join(entry["value"] for entry in state["entries"].values())
    kept = sum(request_id in text for request_id in writers.ids)
    assert 0 < kept < count, kept


@behave.then("writer 2 refuses the first of these ids as expired")
def check_expired(context):
    writers = context.writers
    verdict = writers.run(
        writers.acquire(2, writers.ids[0], made_at=context.first_made_at)
    )
    assert verdict.state is State.EXPIRED, verdict


@behave.when("writer 1 takes ids for {seconds:g} seconds")
def take_for(context, seconds):
    writers = context.writers

    async def run():
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            request_id = uuid.uuid4().hex
            writers.ids.append(request_id)
            await writers.finish(1, request_id)

    writers.run(run())


@behave.then("writer 1 remembers fewer than half of them")
def check_memory(context):
    writers = context.writers
    assert writers.claims[0].size < len(writers.ids) / 2, (
        writers.claims[0].size,
        len(writers.ids),
    )
