"""A model worker in trouble, as a process of its own.

Its streams begin with one event, then line feeds follow until the caller
closes. With the word "sound" it sends eight events instead. It prints its
port, and then a line for each request that it has run.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet_2  # noqa: E402

PIECE = b"\n" * 16384
#: Seconds between two pieces: 4 MB a second on one connection.
PAUSE_SECONDS = 0.004


async def serve(worker, request, writer) -> bool:
    """Answer one request."""
    print(request.id, flush=True)
    if "sound" in sys.argv:
        return await fleet_2.serve_events(worker, request, writer)
    fields = fleet_2.make_answer_fields(worker, request)
    fields |= {"Content-Type": "text/event-stream", "Connection": "close"}
    writer.write(fleet_2.make_head(200, fields) + b"id: 1\ndata: abc\n\n")
    while not writer.is_closing():
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
    return False


async def main() -> None:
    """Serve until killed."""
    worker = fleet_2.Worker(
        name=sys.argv[1], service="models", zone=fleet_2.ZONES[0], serve=serve
    )
    await worker.start()
    print(worker.address, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
