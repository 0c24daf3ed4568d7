"""Errors of the control role."""

from guavapulley import errors

COMMAND_UNKNOWN = errors.register_code(
    "COMMAND_UNKNOWN", "The log holds a command of an unknown type."
)


class ControlError(errors.GuavapulleyError):
    """The control state machine cannot apply an entry of the log."""
