"""Signals that come while a process still imports its libraries.

By default SIGHUP ends a process, and so does SIGTERM with a status that says
that something failed. Imports take half a second and more, in which an
operator may well write settings again, or stop the host.
"""

import signal
import sys


def take() -> None:
    """Leave out SIGHUP, and end in order on SIGTERM, until a host takes both.

    The settings are read after this, so a reload would have nothing to add.
    A process that serves nothing yet has nothing to wait for.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end)


def _end(number, frame) -> None:
    sys.exit(0)
