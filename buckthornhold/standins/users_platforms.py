"""Stand-in of the users' platform: its store and its workers.

Written from the platform's published pages, as far as a relay host uses
them. All parts run in the event loop of whoever starts them.
"""

import asyncio
import base64
import json
import time

from aiohttp import web

from buckthornhold.standins import raw_answers
from buckthornhold.standins import store_copies
from buckthornhold.standins import users_clouds

SEAL = "Server-Seal"
ERA = "Store-Era"
WATCH_TICK = 0.01
#: Pause between the events of a slow stream.
SLOW_EVENT_SECONDS = 0.15

#: The cases under review/ look the cloud up here.
WireCloud = users_clouds.WireCloud


class WireStore:
    """Keys with revisions, leases and watches.

    ``down`` refuses all calls with 503, ``lost_answers`` is how many of the
    next writes are done and not answered, ``delay_seconds`` is waited before
    each call. ``calls`` counts all calls and ``watches`` those that wait for
    changes. ``era`` is None until the store names its era in its responses;
    ``restore`` goes back to a copy and raises it.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.copies = store_copies.StoreCopies(dump=self._dump)
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.first_revision = 1
        self.down = False
        self.lost_answers = 0
        self.delay_seconds = 0.0
        self.calls = 0
        self.watches = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        #: What operators and workers wrote last, None if they removed it.
        self._authored: dict[str, str | None] = {}

    def write(self, key: str, value, lease: int = 0) -> None:
        """Write a value as JSON, as operators and workers do."""
        text = json.dumps(value).encode()
        self._authored[key] = base64.b64encode(text).decode()
        self._put(key, self._authored[key], lease)

    def write_again(self) -> None:
        """Write what operators and workers wrote and a copy doesn't have."""
        for key, value in self._authored.items():
            item = self.items.get(key)
            if value is None:
                self.remove(key)
            elif item is None or item["value"] != value:
                self._put(key, value, 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self._authored:
            self._authored[key] = None
        if key not in self.items:
            return
        self.copies.record()
        del self.items[key]
        self.revision += 1
        self.events.append(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def forget_history(self) -> None:
        """Keep no events of before now."""
        self.events.clear()
        self.first_revision = self.revision

    def restore_older(self, age: float) -> None:
        """Go back to a copy that is some seconds old."""
        self.restore(self.copies.find(age))

    def restore(self, state: dict) -> None:
        """Go back to a copy; revisions and leases are issued again."""
        self.items = dict(state["items"])
        self.revision = state["revision"]
        self._next_lease = state["next_lease"]
        now = time.monotonic()
        self._leases = {
            lease: (now + ttl, ttl) for lease, ttl in state["leases"].items()
        }
        self.events.clear()
        self.first_revision = self.revision
        self.era = (self.era or 0) + 1
        self.copies.clear()

    def _dump(self) -> dict:
        return {
            "items": self.items,
            "revision": self.revision,
            "next_lease": self._next_lease,
            "leases": {lease: ttl for lease, (_, ttl) in self._leases.items()},
        }

    def _put(self, key: str, value: str, lease: int) -> None:
        self.copies.record()
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _end_leases(self) -> None:
        now = time.monotonic()
        ended = [it for it, (ends, _) in self._leases.items() if ends <= now]
        for lease in ended:
            del self._leases[lease]
            for key, item in list(self.items.items()):
                if item["lease"] == lease:
                    self.remove(key)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        response = await self._answer(request)
        if self.era is not None:
            response.headers[ERA] = str(self.era)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self.down:
            return web.Response(status=503)
        self._end_leases()
        name = request.path.removeprefix("/buckthornhold/")
        name, _, argument = name.partition("/")
        self.watches += name == "kv-watch"
        handler = {
            "kv-key": self._get,
            "kv-range": self._range,
            "kv-watch": self._watch,
            "kv-txn": self._change,
            "kv-lease": self._grant,
        }.get(name)
        if name == "kv-keep":
            return self._keep(int(argument))
        if handler is None:
            return web.Response(status=404)
        return await handler(request)

    async def _get(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "asOf": self.revision})

    async def _range(self, request):
        prefix = request.query["pathPrefix"]
        after = request.query.get("after", "")
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {"items": items, "truncated": False, "asOf": self.revision}
        )

    async def _watch(self, request):
        prefix = request.query["pathPrefix"]
        after = int(request.query["after"])
        ends = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if self.down:
                return web.Response(status=503)
            if not self.first_revision <= after <= self.revision:
                return web.Response(status=410)
            found = [
                it
                for it in self.events
                if it["revision"] > after and it["key"].startswith(prefix)
            ]
            if found or time.monotonic() >= ends:
                return web.json_response(
                    {"events": found, "asOf": self.revision}
                )
            await asyncio.sleep(WATCH_TICK)
            self._end_leases()

    async def _change(self, request):
        body = await request.json()
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        for write in body["writes"]:
            if write.get("lease", 0) and write["lease"] not in self._leases:
                return web.Response(status=404)
        for write in body["writes"]:
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        if self.lost_answers:
            self.lost_answers -= 1
            raw_answers.reset(request.transport)
        return web.json_response({"revision": self.revision})

    async def _grant(self, request):
        ttl = (await request.json())["ttlMs"] / 1000
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"lease": lease, "ttlMs": int(ttl * 1000)})

    def _keep(self, lease: int):
        if lease not in self._leases:
            return web.Response(status=404)
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"ttlMs": int(ttl * 1000)})


class WireWorker:
    """A worker of a plain service or of streams.

    ``script`` holds how the next requests end: a status, or ``not_run``,
    ``lost``, ``cut``, ``half_head``, ``unframed``, ``cut_unframed`` for one
    that ends within its last event, ``reset_unframed``, ``extra``,
    ``crossed``, ``mute``, ``slow`` for a stream of long pauses, ``trickle``
    for a byte now and then without end; without an entry they are served. With
    ``crossed_refusal`` the request runs and is answered with a refusal of
    another one; with ``refusal_again`` it runs and is answered with a
    refusal of its own if the connection has carried a refusal before.
    ``restarted`` streams begin at the first event again though a later one
    was asked for. ``ran`` are the ids of the requests that were run,
    ``seen`` their headers. ``extra_fields`` are headers of all its answers.
    """

    def __init__(self, *, name: str, events: int = 0) -> None:
        self.name = name
        self.events = events
        self.script: list[str] = []
        self.ran: list[str] = []
        self.seen: list[dict[str, str]] = []
        self.work_seconds = 0.0
        self.extra_fields: dict[str, str] = {}
        self._refusing_connections: set = set()

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        body = await request.read()
        request_id = request.headers["Attempt-Id"]
        word = self.script.pop(0) if self.script else "200"
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421, headers={"Attempt-Id": request_id})
        if word == "not_run":
            self._refusing_connections.add(request.transport)
            return raw_answers.make_refusal(request_id, self.extra_fields)
        self._note_run(request, body.decode(), word)
        if word == "crossed_refusal":
            return raw_answers.make_refusal("another")
        if word == "refusal_again":
            if request.transport in self._refusing_connections:
                return raw_answers.make_refusal(request_id)
            word = "200"
        await asyncio.sleep(self.work_seconds)
        if word == "lost":
            raw_answers.reset(request.transport)
            return web.Response()
        fields = {
            "Attempt-Id": "another" if word == "crossed" else request_id,
            SEAL: f"seal-of-{self.name}",
            **self.extra_fields,
        }
        if word == "half_head":
            return await self._send_raw(
                request, raw_answers.make_head(fields)[:-9]
            )
        if word.endswith("unframed") or word == "cut_unframed":
            return await self._answer_unframed(request, word, fields)
        if self.events and word.isalpha() or self.events and word == "200":
            return await self._stream(request, word, fields)
        if word == "trickle":
            return await raw_answers.send_slowly(request, fields)
        status = int(word) if word.isdecimal() else 200
        text = f"{self.name} {request_id}"
        if word == "cut":
            response = web.StreamResponse(headers=fields)
            response.content_length = 2 * len(text)
            await response.prepare(request)
            await response.write(text.encode())
            request.transport.close()
            return response
        if word == "extra":
            asyncio.get_running_loop().call_later(
                0.05, self._send_extra, request.transport
            )
        return web.Response(status=status, text=text, headers=fields)

    def _note_run(
        self, request: web.BaseRequest, body: str, word: str
    ) -> None:
        """Note what was begun, and by which word it is to end."""
        self.ran.append(request.headers["Attempt-Id"])
        self.seen.append(
            {
                **request.headers,
                "path": request.raw_path,
                "method": request.method,
                "body": body,
            }
        )

    def _send_extra(self, transport) -> None:
        if transport is not None and not transport.is_closing():
            transport.write(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
                b"Content-Length: 5\r\n\r\nextra"
            )

    async def _answer_unframed(self, request, word, fields):
        """Send a body, or a stream, that ends with its connection."""
        text = "unframed"
        if self.events:
            fields = {**fields, "Content-Type": "text/event-stream"}
            first = int(request.headers.get("Last-Event-Id", 0)) + 1
            text = "".join(
                f"id: {number}\ndata: x\n\n"
                for number in range(first, self.events + 1)
            )
        if word == "cut_unframed":
            text = text[:-3]
        await self._send_raw(
            request,
            f"{raw_answers.make_head(fields)}{text}",
            reset_after=word == "reset_unframed",
        )

    async def _send_raw(self, request, text, *, reset_after=False):
        """Send bytes past the library, then close or reset."""
        request.transport.write(text.encode())
        await asyncio.sleep(0.05)
        if reset_after:
            raw_answers.reset(request.transport)
        else:
            request.transport.close()
        raise ConnectionResetError("the answer was sent already")

    async def _stream(self, request, word, fields):
        response = web.StreamResponse(
            headers={**fields, "Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        if word == "restarted":
            first = 1
        for number in range(first, self.events + 1):
            if word == "slow":
                await asyncio.sleep(SLOW_EVENT_SECONDS)
            if word == "trickle" and number > self.events // 2:
                await raw_answers.trickle(response)
                return response
            if word in ("cut", "mute") and number > self.events // 2:
                if word == "mute":
                    await asyncio.sleep(30)
                await response.write(b"id: 99\nda")
                await asyncio.sleep(0.02)
                raw_answers.reset(request.transport)
                return response
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(0.005)
        await response.write_eof()
        return response
