"""A demonstration: one daemon with the stand-ins in its own process."""

import asyncio
import collections
import contextlib
import datetime
import json
import pathlib
import socket
import sys
import time

import aiohttp

from buckthornhold import daemons
from buckthornhold import embedded
from buckthornhold import logs
from buckthornhold import settings

IP = "127.0.0.1"
TOKEN = "demo"
RULES_PATH = pathlib.Path("examples/postcards.rules")
MODEL = "model-pool"
READY_TIMEOUT = 20.0
QUESTIONS_AT_ONCE = 16
MOVE_TIMEOUT = 40.0
#: The move's steps are short here; the rule's time is that of all of them.
MOVE_SECONDS = 25
MOVE_STEP_TIME = 2.0
MOVE_LEAD = 2.0
POLL_INTERVAL = 0.1


class DemoError(Exception):
    """Something that the demonstration should have seen did not happen."""


def find_free_address() -> str:
    """Return an address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return f"{IP}:{probe.getsockname()[1]}"


def make_settings() -> settings.Settings:
    """Return the settings of an embedded daemon on free ports."""
    return settings.Settings(
        host="entry-1",
        zone="riga-a",
        region="riga",
        listen=settings.Listen(
            callers=find_free_address(),
            operators=find_free_address(),
            peers=find_free_address(),
        ),
        platform=find_free_address(),
        operator_tokens={"demo": TOKEN},
        log_level="error",
        move_step_time=MOVE_STEP_TIME,
        move_lead=MOVE_LEAD,
        embedded=True,
    )


class Demo:
    """A caller and an operator of one daemon, met over HTTP alone."""

    def __init__(
        self, *, session: aiohttp.ClientSession, config: settings.Settings
    ) -> None:
        self._session = session
        self._callers = f"http://{config.listen.callers}"
        self._operators = f"http://{config.listen.operators}"

    async def run(self, text: str) -> None:
        """Show each part in turn, beginning with a rules text."""
        revision = await self.apply_rules(text)
        print(f"rules: {RULES_PATH} is revision {revision}")
        await self.wait_ready()
        await self.stream_answer()
        await self.order_refill()
        await self.move_version(text)

    async def apply_rules(self, text: str) -> int:
        """Put a rules text in force and return its revision."""
        body = await self._operate("PUT", "/rules", {"text": text})
        return body["revision"]

    async def wait_ready(self) -> None:
        """Wait until the daemon is ready and knows its upstreams."""
        give_up_at = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < give_up_at:
            status = await self._operate("GET", "/status")
            if status["ready"] and status["upstreams"]:
                names = ", ".join(it["host"] for it in status["upstreams"])
                print(f"ready: upstreams {names}")
                return
            await asyncio.sleep(POLL_INTERVAL)
        raise DemoError("the daemon did not become ready")

    async def stream_answer(self) -> None:
        """Stream one answer as a driver's chat would."""
        started = time.monotonic()
        first = 0.0
        tokens = []
        async with self._chat("what is low at the pier kiosk?", 24) as answer:
            async for line in answer.content:
                event = line.decode().strip().removeprefix("data: ")
                if event == "[DONE]":
                    break
                if not line.startswith(b"data: "):
                    continue
                first = first or time.monotonic() - started
                choice = json.loads(event)["choices"][0]
                tokens.append(choice["delta"]["content"])
            request_id = answer.headers["X-Request-Id"]
        if len(tokens) != 24:
            raise DemoError(f"the answer has {len(tokens)} tokens, not 24")
        print(
            f"stream: request {request_id} got {len(tokens)} tokens, "
            f"the first after {first * 1000:.0f} ms"
        )

    async def order_refill(self) -> None:
        """Run one refill order twice under one id; it must run once."""
        answers = []
        for _ in range(2):
            async with self._session.post(
                f"{self._callers}/services/order-desk/refill",
                json={"shop": "pier kiosk", "cards": 40},
                headers={
                    "X-Request-Id": "refill-1",
                    "X-Workspace": "drivers",
                },
            ) as answer:
                answers.append((answer.status, await answer.json()))
        if answers[0][0] != 200 or answers[0][1]["run"] != 1:
            raise DemoError(f"the order was answered {answers[0]}")
        print(f"order: refill-1 ran once, answered {answers[0][1]}")
        print(f"order: sent again, status {answers[1][0]}, not run again")

    async def move_version(self, text: str) -> None:
        """Move a model from v1 to v2 by a rule, and wait until it is done."""
        by = datetime.datetime.now(datetime.UTC)
        by += datetime.timedelta(seconds=MOVE_SECONDS)
        lines = (
            f"serve model={MODEL} version=v2"
            "  # asked by: I. Kalniņa: new season's model\n"
            f"move model={MODEL} old=v1 new=v2 by={by:%Y-%m-%dT%H:%M:%SZ}"
            " share=50%  # asked by: I. Kalniņa: new season's model\n"
        )
        revision = await self.apply_rules(text + lines)
        print(f"move: v1 to v2 begins with revision {revision}")
        give_up_at = time.monotonic() + MOVE_TIMEOUT
        versions = collections.Counter()
        shown = ""
        while time.monotonic() < give_up_at:
            versions += await self._count_versions(QUESTIONS_AT_ONCE)
            move = (await self._operate("GET", "/status"))["moves"][0]
            state = f"{move['state']}, share {move['share']:.0%}"
            if state != shown:
                print(f"move: {state}; so far {_format_counts(versions)}")
                shown = state
            if move["state"] == "done":
                await self._check_new_version()
                return
            if move["state"] == "taken_back":
                raise DemoError(f"the move was taken back: {move['reason']}")
        raise DemoError("the move was not done in time")

    async def _check_new_version(self) -> None:
        versions = await self._count_versions(QUESTIONS_AT_ONCE)
        if versions["v1"]:
            raise DemoError("the old version still got requests")
        print("move: v2 alone serves")

    async def _count_versions(self, count: int) -> collections.Counter:
        """Ask questions at once and count the versions that answered."""
        found = await asyncio.gather(
            *[self._find_version(number) for number in range(count)]
        )
        return collections.Counter(found)

    async def _find_version(self, number: int) -> str:
        """Ask one question, again when told to, and return its version."""
        while True:
            async with self._chat(f"question {number}", 6) as answer:
                await answer.read()
                request_id = answer.headers["X-Request-Id"]
                wait = float(answer.headers.get("Retry-After", 0.0))
            if not wait:
                break
            await asyncio.sleep(wait)
        seen = await self._operate("GET", f"/requests/{request_id}")
        return seen["attempts"][-1]["version"]

    def _chat(self, prompt: str, max_tokens: int):
        return self._session.post(
            f"{self._callers}/v1/chat/completions",
            json={
                "model": MODEL,
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": max_tokens,
                "stream": True,
            },
            headers={"X-Workspace": "drivers"},
        )

    async def _operate(self, method: str, path: str, body=None) -> dict:
        async with self._session.request(
            method,
            f"{self._operators}{path}",
            json=body,
            headers={"Authorization": f"Bearer {TOKEN}"},
        ) as answer:
            if answer.status != 200:
                raise DemoError(f"{path}: {await answer.text()}")
            return await answer.json()


def _format_counts(versions: collections.Counter) -> str:
    return ", ".join(f"{it[1]} to {it[0]}" for it in sorted(versions.items()))


async def run_demo(text: str) -> None:
    """Start the daemon, show its parts and stop it again."""
    config = make_settings()
    logs.configure(level=config.log_level)
    stand_ins = embedded.EmbeddedStandIns(config=config)
    host = daemons.EntryHost(config=config)
    started = time.monotonic()
    async with contextlib.AsyncExitStack() as stack:
        await stand_ins.start()
        stack.push_async_callback(stand_ins.stop)
        await host.start()
        stack.push_async_callback(host.stop)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await Demo(session=session, config=config).run(text)
        await session.close()
        await host.drain()
    print(f"done in {time.monotonic() - started:.1f} s")


def main() -> None:
    """Run the demonstration; exits 1 when something was not seen."""
    try:
        asyncio.run(run_demo(RULES_PATH.read_text(encoding="utf-8")))
    except (DemoError, aiohttp.ClientError) as error:
        print(f"failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
