"""Exit codes of the command line and the errors that carry them."""

import enum
from typing import Any

from guavapulley import errors

CHANGE_CONFLICT = errors.register_code(
    "CHANGE_CONFLICT",
    "The configuration has changed since the revision that the operator saw.",
)
CHANGE_REFUSED = errors.register_code(
    "CHANGE_REFUSED", "The control role found the change not valid."
)
CONFIGURATION_STALE = errors.register_code(
    "CONFIGURATION_STALE",
    "No majority confirmed the configuration that a change would start from.",
)
OBJECT_UNKNOWN = errors.register_code(
    "OBJECT_UNKNOWN", "The configuration has no object of this name."
)
OUTCOME_UNCERTAIN = errors.register_code(
    "OUTCOME_UNCERTAIN", "It is not known whether the request ran."
)
WAIT_TIMED_OUT = errors.register_code(
    "WAIT_TIMED_OUT", "A revision was not in force everywhere in time."
)


class Exit(enum.IntEnum):
    """Exit codes; scripts may rely on them."""

    OK = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    NOT_ACCEPTED = 4
    UNKNOWN_OUTCOME = 5
    TIMED_OUT = 6


HELP = """\b
Exit codes:
  0  done
  1  error
  2  wrong usage or settings
  3  conflict: the configuration has changed since the revision you saw
  4  not accepted, or no quorum
  5  outcome unknown: the change or request may have taken effect
  6  a wait timed out
"""


class CommandError(errors.GuavapulleyError):
    """A command did not do what was asked.

    Attributes:
        exit_code: Exit code of the process.
    """

    def __init__(
        self, code: str, message: str, exit_code: Exit, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.exit_code = exit_code
