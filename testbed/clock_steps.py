"""A relay host whose time of day can be stepped from outside.

``python -m testbed.clock_steps`` runs the daemon as it is; each SIGUSR1 steps
its time of day. Monotonic clocks are never stepped, as on a real machine.
"""

import itertools
import signal
import time

#: Where the time of day is after each step, against the machine's, seconds.
OFFSETS = (7.0, -11.0, 0.0)
BEGUN = "the process takes signals"


def patch_clocks() -> None:
    """Have the process read a time of day that steps on SIGUSR1."""
    offsets = itertools.cycle(OFFSETS)
    offset = 0.0
    read, read_nanoseconds = time.time, time.time_ns

    def step(number, frame) -> None:
        nonlocal offset
        offset = next(offsets)

    time.time = lambda: read() + offset
    time.time_ns = lambda: read_nanoseconds() + int(offset * 1e9)
    signal.signal(signal.SIGUSR1, step)


if __name__ == "__main__":
    patch_clocks()
    from buckthornhold import start_signals

    start_signals.take()
    # Who started it knows by this line that signals don't end it any more.
    print(BEGUN, flush=True)
    from buckthornhold.platform import __main__

    __main__.main()
