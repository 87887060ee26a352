"""Steps on explanations of requests that were refused unsent."""

import asyncio

import aiohttp
import behave

from features.steps import tool_steps
from testbed import callers


@behave.given(
    "a rules file with a rate of 1/s and a version for one workspace"
)
def make_strict_file(context):
    text = tool_steps.RULES.read_text()
    text = text.replace("rate=200/s", "rate=1/s")
    text = text.replace("version=v1", "version=v1 workspaces=timing-marshals")
    context.file = context.fleet.folder / "strict.rules"
    context.file.write_text(text)


@behave.when("callers are refused through the last entry host")
def refuse_callers(context):
    address = context.fleet.entries[-1].address

    async def ask(session, name, **options):
        return await callers.stream_chat(
            session, address, request_id=name, prompt="hello", **options
        )

    async def run():
        async with aiohttp.ClientSession() as session:
            await ask(session, "bad-body", max_tokens=-1)
            await ask(session, "no-workspace", workspace="strangers")
            await callers.call_service(
                session,
                address,
                "guess",
                service="no-such-app",
                request_id="no-service",
                body={},
            )
            for name in ("within-limit", "over-limit"):
                await ask(session, name, workspace="timing-marshals")

    asyncio.run(run())


@behave.when("a caller is refused by the last entry host as it drains")
def refuse_while_draining(context):
    async def run():
        async with aiohttp.ClientSession() as session:
            await callers.stream_chat(
                session,
                context.fleet.entries[-1].address,
                request_id="draining",
                prompt="hello",
            )

    asyncio.run(run())


@behave.then("each refusal is explained through the first host")
def check_explained(context):
    for row in context.table:
        tool_steps.run_tool(context, "explain", "request", row["caller"])
        said = context.output
        assert context.code == 0, said
        told = f"refused: {row['reason']} in step '{row['step']}'"
        assert told in said, said
        assert "run: no" in said, said
        assert row["rule"] in said, said
        assert row["when"] in said, said
