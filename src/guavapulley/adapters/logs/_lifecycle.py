"""Events for the start and the end of a process."""

from collections.abc import Iterator
import contextlib

from guavapulley import errors
from guavapulley.adapters.logs import _log


@contextlib.contextmanager
def log_process_lifecycle(
    events: _log.EliotEventLog, **fields: object
) -> Iterator[None]:
    """Logs the start of a process, its end, and an error that ends it.

    Args:
        events: Log of the process; closed when the process ends.
        **fields: Fields of the event `process:started`.

    Raises:
        GuavapulleyError: The error that ended the process, taken out of the
            exception groups of its nurseries.
    """
    events.write("process:started", **fields)
    try:
        with errors.unwrap_exception_group():
            yield
    except errors.GuavapulleyError as error:
        events.write("process:failed", code=error.code, reason=error.message)
        raise
    except Exception as error:
        events.write("process:failed", reason=repr(error))
        raise
    finally:
        events.write("process:ended")
        events.close()
