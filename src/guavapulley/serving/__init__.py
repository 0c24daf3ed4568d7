"""Handling of callers' requests in an entry."""

from guavapulley.serving._attempts import Dispatcher
from guavapulley.serving._configuration import CONFIGURATION_LEASE_S
from guavapulley.serving._configuration import ConfigurationSource
from guavapulley.serving._configuration import ConfigurationState
from guavapulley.serving._configuration import ConfigurationWatcher
from guavapulley.serving._control_client import ControlClient
from guavapulley.serving._errors import KEY_EXPIRED
from guavapulley.serving._errors import KEY_REUSED
from guavapulley.serving._errors import OUTCOME_UNKNOWN
from guavapulley.serving._errors import ServingError
from guavapulley.serving._keys import KEY_RETENTION_S
from guavapulley.serving._keys import request_hash
from guavapulley.serving._labels import CallerRegionResolver
from guavapulley.serving._labels import parse_labels
from guavapulley.serving._leases import LeasedLinks
from guavapulley.serving._leases import renew_leases
from guavapulley.serving._lookup import LOOKUP_LIFETIME_S
from guavapulley.serving._lookup import Lookup
from guavapulley.serving._lookup import LookupResult
from guavapulley.serving._once_executor import RECORD_BEFORE_REPLY_TIMEOUT_S
from guavapulley.serving._once_executor import OnceExecutor
from guavapulley.serving._protocols import Links
from guavapulley.serving._protocols import Member
from guavapulley.serving._protocols import Steerer
from guavapulley.serving._protocols import StoppableServer
from guavapulley.serving._protocols import UnixClock
from guavapulley.serving._protocols import UpstreamRegistry
from guavapulley.serving._requests import RequestService
from guavapulley.serving._shutdown import shut_down
from guavapulley.serving._state_publisher import publish_state
from guavapulley.serving._view import EntryView
from guavapulley.serving._view import Membership

__all__ = [
    "CONFIGURATION_LEASE_S",
    "KEY_EXPIRED",
    "KEY_RETENTION_S",
    "KEY_REUSED",
    "LOOKUP_LIFETIME_S",
    "OUTCOME_UNKNOWN",
    "RECORD_BEFORE_REPLY_TIMEOUT_S",
    "CallerRegionResolver",
    "ConfigurationSource",
    "ConfigurationState",
    "ConfigurationWatcher",
    "ControlClient",
    "Dispatcher",
    "EntryView",
    "LeasedLinks",
    "Links",
    "Lookup",
    "LookupResult",
    "Member",
    "Membership",
    "OnceExecutor",
    "RequestService",
    "ServingError",
    "Steerer",
    "StoppableServer",
    "UnixClock",
    "UpstreamRegistry",
    "parse_labels",
    "publish_state",
    "renew_leases",
    "request_hash",
    "shut_down",
]
