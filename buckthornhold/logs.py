"""JSON-lines logs with the fields that operators search by."""

import atexit
import datetime
import json
import logging
import queue
import sys
import threading

import loguru

#: Fields that every line has, empty where they don't apply.
FIELDS = ("host", "zone", "request_id", "step", "peer", "reason")
#: Lines that wait for a slow reader; further ones are dropped.
MAX_WAITING_LINES = 1000
CLOSE_TIMEOUT = 1.0


class LineWriter:
    """Writes log lines from a thread of its own.

    A reader that has stopped reading must not stop the daemon: lines that
    find no room are dropped and counted, and the log says how many.
    """

    def __init__(self, *, stream, host: str, zone: str) -> None:
        self._stream = stream
        self._place = {"host": host, "zone": zone}
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_WAITING_LINES)
        self._dropped = 0
        self._counting = threading.Lock()
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def write(self, message) -> None:
        """Take one log record of loguru, or drop it."""
        try:
            self._lines.put_nowait(format_record(message.record))
        except queue.Full:
            with self._counting:
                self._dropped += 1

    def close(self) -> None:
        """Write what waits, for a limited time."""
        try:
            self._lines.put(None, timeout=CLOSE_TIMEOUT)
        except queue.Full:
            return
        self._thread.join(CLOSE_TIMEOUT)

    def _run(self) -> None:
        line: str | None = ""
        while line is not None:
            line = self._lines.get()
            try:
                self._write(line or "")
            except OSError:
                with self._counting:
                    self._dropped += 1

    def _write(self, line: str) -> None:
        with self._counting:
            dropped, self._dropped = self._dropped, 0
        if dropped:
            line += self._describe_dropped(dropped)
        self._stream.write(line)
        if self._lines.empty():
            self._stream.flush()

    def _describe_dropped(self, dropped: int) -> str:
        now = datetime.datetime.now().astimezone()
        return format_line(
            time=now,
            level="warning",
            extra={**self._place, "step": "log"},
            message=f"{dropped} lines dropped: the log is not read",
        )


class LibraryHandler(logging.Handler):
    """Passes on what libraries write to the standard logging module."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass on one record."""
        logger = loguru.logger.bind(step=record.name)
        logger.opt(exception=record.exc_info).log(
            record.levelname, record.getMessage()
        )


def format_record(record) -> str:
    """Return a log record of loguru as a line of JSON."""
    more = {}
    if record["exception"] is not None:
        more["error"] = repr(record["exception"].value)
        more["place"] = _find_place(record["exception"].traceback)
    return format_line(
        time=record["time"],
        level=record["level"].name.lower(),
        extra=record["extra"],
        message=record["message"],
        **more,
    )


def format_line(
    *,
    time: datetime.datetime,
    level: str,
    extra: dict,
    message: str,
    **more: str,
) -> str:
    """Return one line of JSON with all fields."""
    line = {"time": time.isoformat(), "level": level}
    for field in FIELDS:
        line[field] = str(extra.get(field, ""))
    return json.dumps({**line, "message": message, **more}) + "\n"


def configure(
    *, level: str, host: str = "", zone: str = "", stream=sys.stderr
) -> None:
    """Send every log record to a stream as a JSON line.

    Libraries' records name the host and availability zone as well.
    """
    writer = LineWriter(stream=stream, host=host, zone=zone)
    atexit.register(writer.close)
    loguru.logger.remove()
    loguru.logger.configure(extra={"host": host, "zone": zone})
    loguru.logger.add(writer.write, level=level.upper())
    logging.basicConfig(
        handlers=[LibraryHandler()], level=level.upper(), force=True
    )


def bind(*, host: str, zone: str):
    """Return a logger that names its host and availability zone."""
    return loguru.logger.bind(host=host, zone=zone)


def log_failure(logger, failure, *, request_id: str = "") -> None:
    """Log a failure with its reason, step and peer."""
    logger.bind(
        request_id=request_id,
        step=failure.step,
        peer=failure.peer,
        reason=failure.reason.value,
    ).warning(failure.detail or failure.reason.value)


def _find_place(traceback) -> str:
    """Return file and line at which an exception was raised."""
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    code = traceback.tb_frame.f_code
    return f"{code.co_filename}:{traceback.tb_lineno}"
