"""Callers of entry hosts, for features and measurements."""

import asyncio
import dataclasses
import itertools
import json
import time

import aiohttp
import yarl

from buckthornhold.standins import texts

#: How long a caller waits before it comes back, in seconds.
RETURN_PAUSE = 0.2
#: How long it waits for a token before it comes back, in seconds.
RETURN_PATIENCE = 2.0
#: Refusals after which coming back is of no use.
FINAL_STATUSES = (404, 410)


@dataclasses.dataclass(kw_only=True)
class Chat:
    """What a caller saw of one model request.

    ``status`` is 0 when the connection failed. ``times`` are the arrival
    times of the tokens on the monotonic clock. ``cuts`` counts connections
    that broke without a word, ``returns`` how often the caller came back.
    """

    request_id: str
    prompt: str
    max_tokens: int
    status: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    times: list[float] = dataclasses.field(default_factory=list)
    last_event_id: str = ""
    ended: bool = False
    error: dict | None = None
    broken: str = ""
    retry_after: str = ""
    location: str = ""
    cuts: int = 0
    returns: int = 0

    def __str__(self) -> str:
        """Return what failed, without all the tokens."""
        return (
            f"{self.prompt!r}: {len(self.tokens)} of {self.max_tokens}, "
            f"ended {self.ended}, whole {self.whole}, status {self.status}, "
            f"returns {self.returns}, last {self.last_event_id}, "
            f"error {self.error}, broken {self.broken}"
        )

    @property
    def gaps(self) -> list[float]:
        """Seconds between each two tokens."""
        pairs = zip(self.times, self.times[1:], strict=False)
        return [second - first for first, second in pairs]

    @property
    def whole(self) -> bool:
        """Whether the caller got its own whole answer."""
        return (
            self.ended
            and len(self.tokens) == self.max_tokens
            and texts.is_right(f"user: {self.prompt}", self.tokens)
        )


async def fetch_chat(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request_id: str,
    prompt: str,
    max_tokens: int = 16,
    model: str = "race-desk-llm",
    timeout: float = 60.0,
) -> Chat:
    """Ask for one answer as a whole, not streamed."""
    chat = Chat(request_id=request_id, prompt=prompt, max_tokens=max_tokens)
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    }
    try:
        async with session.post(
            f"http://{address}/v1/chat/completions",
            json=body,
            headers={"X-Request-Id": request_id},
            timeout=aiohttp.ClientTimeout(total=timeout),
        ) as response:
            chat.status = response.status
            chat.retry_after = response.headers.get("Retry-After", "")
            chat.location = response.headers.get("Location", "")
            take_whole(chat, await response.json())
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        chat.broken = repr(error)
    return chat


async def follow_chat(
    session: aiohttp.ClientSession,
    addresses: list[str],
    *,
    request_id: str,
    prompt: str,
    max_tokens: int = 16,
    give_up_after: float = 60.0,
) -> Chat:
    """Stream one answer and come back to other hosts until it is whole.

    The caller sends its request until a host accepts it; after that it
    gives its last event id alone.
    """
    chat = Chat(request_id=request_id, prompt=prompt, max_tokens=max_tokens)
    give_up_at = time.monotonic() + give_up_after
    for address in itertools.cycle(addresses):
        chat.error, chat.broken = None, ""
        if chat.last_event_id:
            await return_chat(session, address, chat)
        else:
            await stream_chat(
                session,
                address,
                request_id=request_id,
                prompt=prompt,
                max_tokens=max_tokens,
                chat=chat,
                patience=RETURN_PATIENCE,
            )
        lost = chat.status in FINAL_STATUSES
        if chat.ended or lost or time.monotonic() > give_up_at:
            return chat
        chat.returns += 1
        chat.cuts += bool(chat.broken)
        await asyncio.sleep(RETURN_PAUSE)
    return chat


async def return_chat(session, address: str, chat: Chat) -> None:
    """Come back with the last event id alone."""
    try:
        async with session.get(
            f"http://{address}/v1/chat/completions",
            headers={
                "Last-Event-ID": chat.last_event_id,
                "X-Workspace": "booth",
            },
            timeout=aiohttp.ClientTimeout(
                total=60.0, sock_connect=1.0, sock_read=RETURN_PATIENCE
            ),
        ) as response:
            chat.status = response.status
            if response.status != 200:
                chat.error = (await response.json())["error"]
                return
            async for line in response.content:
                take_line(chat, line.decode().rstrip("\n"))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        chat.broken = repr(error)


async def follow_whole(
    session: aiohttp.ClientSession,
    addresses: list[str],
    *,
    request_id: str,
    prompt: str,
    max_tokens: int = 16,
    give_up_after: float = 60.0,
) -> Chat:
    """Ask for a whole answer; send it again elsewhere while it is not had."""
    give_up_at = time.monotonic() + give_up_after
    for returns, address in enumerate(itertools.cycle(addresses)):
        chat = await fetch_chat(
            session,
            address,
            request_id=request_id,
            prompt=prompt,
            max_tokens=max_tokens,
        )
        chat.returns = returns
        if chat.ended or time.monotonic() > give_up_at:
            return chat
        await asyncio.sleep(RETURN_PAUSE)
    return chat


def take_whole(chat: Chat, body: dict) -> None:
    """Take the body of an answer that was not streamed."""
    chat.error = body.get("error")
    if chat.status == 200:
        content = body["choices"][0]["message"]["content"]
        chat.tokens = [f" {text}" for text in content.split(" ")[1:]]
        chat.ended = True


async def stream_chat(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request_id: str,
    prompt: str,
    max_tokens: int = 16,
    model: str = "race-desk-llm",
    workspace: str = "booth",
    timeout: float = 60.0,
    patience: float | None = None,
    headers: dict[str, str] | None = None,
    chat: Chat | None = None,
) -> Chat:
    """Stream one answer; a given ``chat`` is filled further.

    ``patience`` bounds the wait for each part of it, in seconds.
    """
    if chat is None:
        chat = Chat(
            request_id=request_id, prompt=prompt, max_tokens=max_tokens
        )
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    all_headers = {
        "X-Request-Id": request_id,
        "X-Workspace": workspace,
        **(headers or {}),
    }
    try:
        async with session.post(
            f"http://{address}/v1/chat/completions",
            json=body,
            headers=all_headers,
            timeout=aiohttp.ClientTimeout(total=timeout, sock_read=patience),
        ) as response:
            chat.status = response.status
            if response.status != 200:
                chat.error = (await response.json())["error"]
                return chat
            async for line in response.content:
                take_line(chat, line.decode().rstrip("\n"))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        chat.broken = repr(error)
    return chat


def take_line(chat: Chat, line: str) -> None:
    """Take one line of an answer that is streamed."""
    if line.startswith("id: "):
        chat.last_event_id = line.removeprefix("id: ")
        return
    if not line.startswith("data: "):
        return
    data = line.removeprefix("data: ")
    if data == "[DONE]":
        chat.ended = True
        return
    event = json.loads(data)
    if "error" in event:
        chat.error = event["error"]
        return
    chat.tokens.append(event["choices"][0]["delta"]["content"])
    chat.times.append(time.monotonic())


@dataclasses.dataclass(kw_only=True)
class CallResult:
    """What a caller saw of one call; status 0 when it got no answer."""

    request_id: str
    status: int = 0
    ran: str = ""
    body: dict | None = None
    retry_after: str = ""
    content_type: str = ""
    started: float = 0.0
    seconds: float = 0.0

    @property
    def reason(self) -> str:
        """Reason of the refusal, empty for an answer."""
        error = (self.body or {}).get("error")
        return error["reason"] if error else ""


async def call_service(
    session: aiohttp.ClientSession,
    address: str,
    operation: str,
    *,
    request_id: str,
    body: dict,
    service: str = "entries-app",
    timeout: float = 30.0,
    method: str = "POST",
    headers: dict[str, str] | None = None,
) -> CallResult:
    """Make one call of a plain service; an empty id isn't sent."""
    result = CallResult(request_id=request_id, started=time.time())
    started = time.monotonic()
    all_headers = {"X-Request-Id": request_id} if request_id else {}
    try:
        async with session.request(
            method,
            yarl.URL(
                f"http://{address}/services/{service}/{operation}",
                encoded=True,
            ),
            json=body,
            headers={**all_headers, **(headers or {})},
            timeout=aiohttp.ClientTimeout(total=timeout),
        ) as response:
            result.body = await response.json()
            result.status = response.status
            result.ran = response.headers.get("X-Ran", "")
            result.retry_after = response.headers.get("Retry-After", "")
            result.content_type = response.content_type
    except (TimeoutError, aiohttp.ClientError, OSError):
        result.status = 0
    result.seconds = time.monotonic() - started
    return result
