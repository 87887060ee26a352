"""Relay processes: signals, settings file and exit code of a relay host."""

import asyncio
import contextlib
import os
import signal
import sys

from buckthornhold import footprints
from buckthornhold import logs
from buckthornhold import reasons
from buckthornhold import relay_hosts
from buckthornhold import relay_platforms
from buckthornhold import relay_settings

EXIT_DONE = 0
EXIT_NOT_STARTED = 1
EXIT_BAD_SETTINGS = 2
#: Time after the start at which memory is trimmed: by then the host has
#: connected to its peers and upstreams.
MEMORY_TRIM_DELAY_SECONDS = 2.0
#: Interval of checks for changes of the settings file without a signal.
SETTINGS_POLL_INTERVAL_SECONDS = 2.0


#: Modification time of a file in nanoseconds and its size in bytes.
FileStamp = tuple[int, int]


class SettingsReloader:
    """Reloads the settings file when it has changed or on a signal.

    ``seen`` is the file's stamp from before it was first read.
    """

    def __init__(
        self, *, path: str, host: relay_hosts.RelayHost, seen: FileStamp | None
    ) -> None:
        self._path = path
        self._host = host
        self._last_stamp = seen

    def reload(self) -> None:
        """Read the file and apply it; invalid settings change nothing."""
        self._last_stamp = self._read_stamp()
        config = relay_settings.load(self._path)
        logger = self._host.logger.bind(step="reload", peer=self._path)
        if isinstance(config, reasons.Failure):
            logger.error(f"reload failed, settings unchanged: {config.detail}")
            return
        try:
            self._host.apply_settings(config)
        except Exception:
            # An error here must not end the checks, nor the process when it
            # waits for their end.
            logger.exception("settings could not be applied")

    def check(self) -> None:
        """Reload the file if it has changed since it was read."""
        if self._read_stamp() != self._last_stamp:
            self.reload()

    async def watch(self) -> None:
        """Check for changes until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_SECONDS)
            self.check()

    def _read_stamp(self) -> FileStamp | None:
        try:
            return read_stamp(self._path)
        except OSError as error:
            self._host.logger.bind(step="reload", peer=self._path).warning(
                f"settings file is not accessible: {error.strerror}"
            )
            return None


def read_stamp(path: str) -> FileStamp:
    """Return the stamp of a file, which shows changes; raises OSError."""
    status = os.stat(path)
    return (status.st_mtime_ns, status.st_size)


async def serve(
    config: relay_settings.RelaySettings,
    path: str,
    platform: relay_platforms.Platform,
    seen: FileStamp | None,
) -> int:
    """Run a relay host until a termination signal, then drain.

    ``seen`` is the stamp of the settings file from before it was read.
    Returns the exit code.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    host = relay_hosts.RelayHost(config=config, platform=platform)
    reloader = SettingsReloader(path=path, host=host, seen=seen)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    try:
        await host.start()
    except (OSError, RuntimeError) as error:
        host.logger.bind(step="start").error(str(error))
        await host.stop()
        return EXIT_NOT_STARTED
    loop.call_later(MEMORY_TRIM_DELAY_SECONDS, footprints.settle)
    watch_task = loop.create_task(reloader.watch())
    await stopped.wait()
    watch_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watch_task
    await host.drain()
    await host.stop()
    return EXIT_DONE


def run(path: str, *, platform: relay_platforms.Platform) -> None:
    """Load the settings and serve; exits the process."""
    # If the file is missing, loading it fails below.
    seen = read_stamp(path) if os.path.exists(path) else None
    config = relay_settings.load(path)
    if isinstance(config, reasons.Failure):
        print(config.detail, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.configure(
        level=config.log_level,
        host=config.host,
        zone=config.zone,
        stream=sys.stdout,
    )
    sys.exit(asyncio.run(serve(config, path, platform, seen)))
