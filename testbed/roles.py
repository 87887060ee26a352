"""Keepers of one role and what they order, in one process."""

import asyncio
import json

import behave
import loguru

from buckthornhold import clients
from buckthornhold import counters
from buckthornhold import reasons
from buckthornhold import stores
from buckthornhold.coordination import leases
from buckthornhold.coordination import orders
from buckthornhold.coordination import pause_detectors
from buckthornhold.standins import platforms
from testbed import stores as lossy_stores


class Roles:
    """Keepers of one role and a stand-in platform on one event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.platform = platforms.Platform(address="127.0.0.1:0")
        self.history = []
        self.keepers = []
        self.counters = counters.Counters(address=None, prefix="")
        loguru.logger.disable("buckthornhold")
        self.run(self._start())

    def run(self, coroutine):
        """Run a coroutine on the loop and return its result."""
        return self.loop.run_until_complete(coroutine)

    async def _start(self):
        self.session = clients.make_session()
        await self.platform.start()

    def add_keeper(self, *, ttl, chance=0.0, seed=0, clock=None):
        """Return one more keeper of the role, not yet started."""
        name = f"keeper-{len(self.keepers)}"

        def notice(taken):
            fence = keeper.active_lease.fence if taken else 0
            self.record("taken" if taken else "lost", name, fence)

        keeper = leases.LeaderElector(
            store=lossy_stores.LossyStore(
                inner=stores.HttpStore(
                    session=self.session,
                    address=self.platform.address,
                    timeout=0.5,
                ),
                chance=chance,
                seed=seed,
            ),
            role="mover",
            holder=name,
            ttl=ttl,
            margin=ttl / 5,
            notify=notice,
            clock=clock or pause_detectors.read_boot_clock,
            logger=loguru.logger,
            counters=self.counters,
        )
        keeper.name = name
        self.keepers.append(keeper)
        return keeper

    def record(self, kind, name, fence):
        """Add an event to the history."""
        event = {
            "kind": kind,
            "time": pause_detectors.read_boot_clock(),
            "holder": name,
            "fence": fence,
        }
        self.history.append(json.dumps(event))

    async def call(self, method, path, body=None):
        """Call the stand-in platform and return the answer's JSON."""
        async with self.session.request(
            method, f"http://{self.platform.address}{path}", json=body
        ) as reply:
            return await reply.json()

    async def wait_holder(self, *, besides=()):
        """Wait until a keeper holds the role and return it."""
        for _ in range(400):
            for keeper in self.keepers:
                if keeper not in besides and keeper.active_lease is not None:
                    return keeper
            await asyncio.sleep(0.01)
        raise AssertionError("nobody took the role within 4 s")

    async def _stop(self):
        for keeper in self.keepers:
            await keeper.stop()
        await self.session.close()
        await self.platform.stop()

    def stop(self):
        """Stop every part."""
        self.run(self._stop())
        self.loop.close()
        loguru.logger.enable("buckthornhold")


@behave.fixture
def run_roles(context):
    """Run keepers of one role until the scenario ends."""
    roles = Roles()
    yield roles
    roles.stop()


class EngineTarget(orders.Target):
    """The stand-in engine as a target of role orders."""

    def __init__(self, *, engine, session, checks_fence):
        self.name = engine.address
        self.checks_fence = checks_fence
        self.sent_at = []
        self._session = session

    async def send(self, order, *, fence, timeout):
        """Send the order once."""
        self.sent_at.append(pause_detectors.read_boot_clock())
        async with self._session.post(
            f"http://{self.name}/v1/orders",
            json={"order": "role", "role": order, "fence": fence},
        ) as reply:
            if reply.status == 200:
                return None
            return reasons.Failure(
                reason=reasons.Reason.FENCE_OLD, step="order", peer=self.name
            )

    async def is_applied(self, order):
        """Look whether the engine has the role."""
        return await self.read_role() == order

    async def read_role(self):
        """Return the role that the engine has."""
        async with self._session.get(f"http://{self.name}/state") as reply:
            return (await reply.json())["role"]
