"""Imports trio without starting a process.

To name its threads, trio looks for a library with `ctypes.util.find_library`
when it is imported, which runs `ldconfig`. A process of the system starts no
other process, so the search finds nothing here, and threads keep their names.
This module has to be imported before any other that imports trio.
"""

import ctypes.util


def import_trio() -> None:
    """Imports trio while the search for libraries is off."""
    search = ctypes.util.find_library
    ctypes.util.find_library = _find_nothing
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = search


def _find_nothing(name: str) -> str | None:
    return None


import_trio()
