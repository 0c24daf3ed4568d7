"""Exit codes of the command line."""

import enum


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
