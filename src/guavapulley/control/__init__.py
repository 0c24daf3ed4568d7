"""State machine over the replicated log and its services."""

from guavapulley.control._admin import ControlAdmin
from guavapulley.control._commands import CODEC_TYPES
from guavapulley.control._errors import ControlError
from guavapulley.control._leases import LinkLeases
from guavapulley.control._leases import max_min_shares
from guavapulley.control._machine import SteeringStateMachine
from guavapulley.control._service import ControlService
from guavapulley.control._validation import configuration_fault

__all__ = [
    "CODEC_TYPES",
    "ControlAdmin",
    "ControlError",
    "ControlService",
    "LinkLeases",
    "SteeringStateMachine",
    "configuration_fault",
    "max_min_shares",
]
