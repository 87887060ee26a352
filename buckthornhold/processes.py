"""The daemon's process: its options, signals and exit code."""

import argparse
import asyncio
import signal
import sys

import mode

from buckthornhold import daemons
from buckthornhold import footprints
from buckthornhold import logs
from buckthornhold import reasons
from buckthornhold import settings

EXIT_DONE = 0
EXIT_NOT_STARTED = 1
EXIT_BAD_SETTINGS = 2
#: A host has met its peers and its upstreams by then.
SETTLE_AFTER_SECONDS = 2.0


async def serve(config: settings.Settings) -> int:
    """Run one entry host until a termination signal, then drain.

    Returns the exit code.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    stand_ins = make_stand_ins(config)
    if stand_ins is not None:
        await stand_ins.start()
    host = daemons.EntryHost(config=config)
    code = EXIT_DONE
    try:
        await host.start()
    except (OSError, RuntimeError) as error:
        host.logger.bind(step="start").error(str(error))
        code = EXIT_NOT_STARTED
    if code == EXIT_DONE:
        loop.call_later(SETTLE_AFTER_SECONDS, footprints.settle)
        await stopped.wait()
        await host.drain()
    await host.stop()
    if stand_ins is not None:
        await stand_ins.stop()
    return code


def make_stand_ins(config: settings.Settings) -> mode.Service | None:
    """Return the stand-ins of the embedded mode, if the settings ask for it.

    They are imported only then, which keeps them out of a real host's
    memory.
    """
    if not config.embedded:
        return None
    from buckthornhold import embedded

    return embedded.EmbeddedStandIns(config=config)


def main() -> None:
    """Read the settings and serve."""
    parser = argparse.ArgumentParser(
        prog="buckthornhold", description="Run one entry host."
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    arguments = parser.parse_args()
    footprints.settle()
    config = settings.load_settings(arguments.settings)
    if isinstance(config, reasons.Failure):
        print(config.detail, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.configure(level=config.log_level, host=config.host, zone=config.zone)
    sys.exit(asyncio.run(serve(config)))
