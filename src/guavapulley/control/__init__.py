"""Replicated configuration and idempotency keys, with link leases.

A control replica applies the commands of the log to its state machine, and
serves entries, other replicas and operators.
"""

from guavapulley.control._admin import ControlAdmin
from guavapulley.control._commands import CODEC_TYPES
from guavapulley.control._errors import ControlError
from guavapulley.control._leases import LinkLeases
from guavapulley.control._leases import max_min_shares
from guavapulley.control._machine import ControlStateMachine
from guavapulley.control._service import ControlService
from guavapulley.control._validation import validate_configuration

__all__ = [
    "CODEC_TYPES",
    "ControlAdmin",
    "ControlError",
    "ControlService",
    "LinkLeases",
    "ControlStateMachine",
    "validate_configuration",
    "max_min_shares",
]
