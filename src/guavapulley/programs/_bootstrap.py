"""Imports trio without starting a child process.

To name its threads, trio looks up a library with `ctypes.util.find_library`
at import time, which runs `ldconfig`. Processes of this system must not start
other processes. The lookup is therefore replaced by one that finds nothing,
and threads keep the names that the operating system gave them. This module
must be imported before any other module that imports trio.
"""

import ctypes.util


def import_trio() -> None:
    """Imports trio while the lookup of libraries is disabled."""
    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_nothing
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library


def _find_nothing(name: str) -> str | None:
    return None


import_trio()
