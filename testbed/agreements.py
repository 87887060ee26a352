"""Hosts' parts that agree on rules, in one process on one stand-in."""

import asyncio

import loguru

from buckthornhold import clients
from buckthornhold import counters
from buckthornhold import grammars
from buckthornhold import stores
from buckthornhold.coordination import changes
from buckthornhold.coordination import revisions
from buckthornhold.standins import platforms
from testbed import stores as lossy_stores

LIMIT = "limit workspace={} rate={}/s  # asked by: {}"
TIMEOUT = 1.0


class Host:
    """The parts of one host that agree on rules."""

    def __init__(self, name, store, history, timeout):
        self.name = name
        self.store = store
        self.counters = counters.Counters(address=None, prefix="")
        self.revisions = revisions.Revisions(
            store=store,
            prefix="rules",
            watch_timeout=0.3,
            retry_interval=0.05,
            adopt=lambda it: history.append(
                {
                    "kind": "adopted",
                    "host": name,
                    "number": it.number,
                    "change_id": it.change_id,
                }
            ),
            logger=loguru.logger,
            counters=self.counters,
        )
        self.changes = changes.Changes(
            store=store,
            known_revisions=self.revisions,
            timeout=timeout,
            find_key=grammars.find_identity,
            find_problem=grammars.find_problem,
            logger=loguru.logger,
            counters=self.counters,
        )

    def count(self, name):
        """Return how often an event of the revisions was counted."""
        return self.counters.totals[f"events.revisions.{name}"]


class Agreement:
    """Some hosts and a store on an event loop that steps run in turn."""

    def __init__(self, count):
        self.loop = asyncio.new_event_loop()
        self.history = []
        self.platform = platforms.Platform(address="127.0.0.1:0")
        self.run(self._start(count))

    def run(self, coroutine):
        """Run a coroutine on the loop and return its result."""
        return self.loop.run_until_complete(coroutine)

    async def _start(self, count):
        loguru.logger.disable("buckthornhold")
        await self.platform.start()
        self.session = clients.make_session()
        self.hosts = [self.make_host(f"host-{it}") for it in range(count)]
        for host in self.hosts:
            await host.revisions.start()
        await self.add(self.hosts[0], "base", 1)

    def make_host(self, name, timeout=TIMEOUT, **kwargs):
        """Return a host with a store that may lose what is sent.

        ``timeout`` is how many seconds it tries to make a change.
        """
        store = lossy_stores.LossyStore(
            inner=stores.HttpStore(
                session=self.session,
                address=self.platform.address,
                timeout=0.5,
            ),
            prefix="rules/current",
            **kwargs,
        )
        return Host(name, store, self.history, timeout)

    async def add(self, host, workspace, rate, base=None):
        """Add or change the rule of a workspace in a base's text."""
        await host.revisions.refresh()
        held = base or host.revisions.current
        lines = [
            line
            for line in held.text.splitlines()
            if f"workspace={workspace} " not in line
        ]
        lines.append(LIMIT.format(workspace, rate, host.name))
        return await host.changes.propose(
            "\n".join(lines) + "\n", who=host.name, base=held.number
        )

    async def read_entry(self):
        """Return the entry of the rules as the store itself has it."""
        return await self.call("GET", "/kv/rules/current")

    async def read_text(self):
        """Return the rules text that the store holds."""
        body = await self.read_entry()
        return revisions.load_revision(body["value"]).text

    async def call(self, method, path, body=None):
        """Call the stand-in platform and return the answer's JSON."""
        async with self.session.request(
            method, f"http://{self.platform.address}{path}", json=body
        ) as reply:
            return await reply.json()

    async def wait_until(self, check, what):
        """Wait up to 5 s until a check holds."""
        for _ in range(200):
            if await check():
                return
            await asyncio.sleep(0.025)
        raise AssertionError(f"not within 5 s: {what}")

    async def _stop(self):
        for host in self.hosts:
            await host.revisions.stop()
        await self.session.close()
        await self.platform.stop()

    def stop(self):
        """Stop every part."""
        self.run(self._stop())
        self.loop.close()
        loguru.logger.enable("buckthornhold")
