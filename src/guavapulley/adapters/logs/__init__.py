"""Event log as eliot JSON lines."""

from guavapulley.adapters.logs._log import LOG_UNWRITABLE
from guavapulley.adapters.logs._log import EliotEventLog
from guavapulley.adapters.logs._log import LogError

__all__ = ["LOG_UNWRITABLE", "EliotEventLog", "LogError"]
