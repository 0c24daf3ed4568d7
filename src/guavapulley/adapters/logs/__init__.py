"""Event log in JSON Lines format, written with eliot."""

from guavapulley.adapters.logs._lifecycle import log_process_lifecycle
from guavapulley.adapters.logs._log import LOG_UNWRITABLE
from guavapulley.adapters.logs._log import EliotEventLog
from guavapulley.adapters.logs._log import LogError
from guavapulley.adapters.logs._sink import StreamSink

__all__ = [
    "LOG_UNWRITABLE",
    "EliotEventLog",
    "LogError",
    "StreamSink",
    "log_process_lifecycle",
]
