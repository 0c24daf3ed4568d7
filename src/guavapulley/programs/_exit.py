"""Exit codes of the command line and errors that have an exit code."""

import enum
from typing import Any

from guavapulley import errors

CHANGE_CONFLICT = errors.register_code(
    "CHANGE_CONFLICT",
    "The configuration has changed since the revision that the operator saw.",
)
CHANGE_REFUSED = errors.register_code(
    "CHANGE_REFUSED", "The control role found that the change is not valid."
)
CONFIGURATION_STALE = errors.register_code(
    "CONFIGURATION_STALE",
    "No majority confirmed the configuration on which a change would be based.",
)
OBJECT_UNKNOWN = errors.register_code(
    "OBJECT_UNKNOWN", "The configuration has no object of this name."
)
OUTCOME_UNCERTAIN = errors.register_code(
    "OUTCOME_UNCERTAIN", "It is not known whether the request ran."
)
WAIT_TIMED_OUT = errors.register_code(
    "WAIT_TIMED_OUT",
    "A revision was not in force everywhere before the timeout.",
)


class ExitCode(enum.IntEnum):
    """Exit codes, which are stable because scripts depend on them."""

    OK = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    NOT_ACCEPTED = 4
    UNKNOWN_OUTCOME = 5
    TIMED_OUT = 6


EXIT_CODE_HELP = """\b
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
    """A command failed.

    Attributes:
        exit_code: Exit code of the process.
    """

    def __init__(
        self, code: str, message: str, exit_code: ExitCode, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.exit_code = exit_code
