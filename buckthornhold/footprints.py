"""Keeps the resident memory of the daemon's process small.

What is set here holds for the whole process and has to be set before any
library is imported, so only the program does it. A program that embeds the
parts of this package decides for itself.
"""

import ctypes
import gc
import os
import sys

#: Modules that the libraries of the daemon import where they are there, and
#: do without. A host speaks plain HTTP and gRPC by IP number, and blake2b is
#: Python's own, so OpenSSL would be loaded for nothing. The last two are for
#: other systems' terminals and for generating code.
UNUSED_MODULES = (
    "ssl",
    "_ssl",
    "_hashlib",
    "bz2",
    "lzma",
    "colorama",
    "grpc_tools",
)

#: glibc's names of options (``malloc.h``): the greatest number of allocation
#: areas, and the size from which on memory is given back as it is freed.
M_ARENA_MAX = -8
M_MMAP_THRESHOLD = -3
#: Without a fixed size, glibc keeps freed blocks as long as bodies for others.
#: asyncio allocates 256 KB for each read, which is not to be given back.
MMAP_THRESHOLD_BYTES = 512 << 10


def reduce() -> None:
    """Leave out what a host does not use, and allocate from one area."""
    for name in UNUSED_MODULES:
        # The import system raises ModuleNotFoundError for None.
        sys.modules.setdefault(name, None)
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    limit_arenas()


def limit_arenas() -> None:
    """Let all threads allocate from one area, if the C library is glibc.

    Long bodies are given back to the system as soon as they are freed.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(M_ARENA_MAX, 1)
        set_option(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


def hasten_start() -> None:
    """Leave out what makes a start long; to be followed by ``settle``.

    aiohttp reads all of the machine's certificates when it is imported, and
    a host speaks no TLS. Nothing that imports make is to be collected.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    gc.disable()


def settle() -> None:
    """Give back what was needed for a start alone, if glibc keeps it."""
    gc.enable()
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
