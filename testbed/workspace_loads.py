"""Open-loop loads of several workspaces, for features and measurements."""

import asyncio
import dataclasses
import random
import uuid

import aiohttp

from testbed import callers

CHARS_PER_TOKEN = 4
ANSWER_TOKENS = 10
LETTERS = "abcdefgh"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceLoad:
    """Load of a workspace that sends new prompts as a Poisson process.

    ``rate`` is in requests a second and ``tokens`` the length of each
    prompt. The first request comes after ``start_seconds``.
    """

    workspace: str
    rate: float
    tokens: int = 1000
    start_seconds: float = 0.0
    answer_tokens: int = ANSWER_TOKENS


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Outcome of one request.

    ``sent_at`` is in seconds since the start of the run, ``first_token`` the
    seconds from the request to the first token, None without a token.
    """

    sent_at: float
    workspace: str
    chat: callers.Chat
    first_token: float | None
    seconds: float


async def send_loads(
    loads: list[WorkspaceLoad],
    *,
    addresses: list[str],
    seconds: float,
    seed: int,
) -> list[Outcome]:
    """Send all loads to random hosts; the seed determines all choices."""
    generator = random.Random(seed)
    arrivals = []
    for load in loads:
        arrival = load.start_seconds + generator.expovariate(load.rate)
        while arrival < seconds:
            prompt = generator.choices(
                LETTERS, k=CHARS_PER_TOKEN * load.tokens
            )
            address = generator.choice(addresses)
            arrivals.append((arrival, load, "".join(prompt), address))
            arrival += generator.expovariate(load.rate)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = asyncio.get_running_loop().time()
        requests = [
            _send_request(session, started, arrival, load, prompt, address)
            for arrival, load, prompt, address in arrivals
        ]
        return await asyncio.gather(*requests)


async def _send_request(
    session,
    started: float,
    arrival: float,
    load: WorkspaceLoad,
    prompt,
    address,
) -> Outcome:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(started + arrival - loop.time())
    sent_time = loop.time()
    chat = await callers.stream_chat(
        session,
        address,
        request_id=uuid.uuid4().hex,
        prompt=prompt,
        max_tokens=load.answer_tokens,
        workspace=load.workspace,
    )
    return Outcome(
        sent_at=sent_time - started,
        workspace=load.workspace,
        chat=chat,
        first_token=chat.times[0] - sent_time if chat.times else None,
        seconds=loop.time() - sent_time,
    )


def summarize(
    outcomes: list[Outcome], *, target: float, seconds: float
) -> dict[str, dict]:
    """Return each workspace's figures; times are in seconds."""
    figures = {}
    for name in sorted({outcome.workspace for outcome in outcomes}):
        own = [outcome for outcome in outcomes if outcome.workspace == name]
        first_tokens = sorted(
            outcome.first_token for outcome in own if outcome.chat.whole
        )
        reasons = [
            outcome.chat.error["reason"]
            for outcome in own
            if outcome.chat.error
        ]
        refusals = sorted(
            outcome.seconds for outcome in own if outcome.chat.error
        )
        figures[name] = {
            "sent": len(own),
            "whole": len(first_tokens),
            "good": sum(first_token <= target for first_token in first_tokens),
            "good_per_second": round(
                sum(first_token <= target for first_token in first_tokens)
                / seconds,
                2,
            ),
            "first_token_p50": find_quantile(first_tokens, 0.5),
            "first_token_p95": find_quantile(first_tokens, 0.95),
            "refusal_p99": find_quantile(refusals, 0.99),
            "refused": {
                reason: reasons.count(reason)
                for reason in sorted(set(reasons))
            },
        }
    return figures


def find_quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, 0 if there are none."""
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)
