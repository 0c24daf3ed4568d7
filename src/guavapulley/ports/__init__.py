"""Ports: the protocols by which the core reaches adapters and is reached.

The values and errors that the protocols use are defined here too.
"""

from guavapulley.ports._admin import CHANGE_NOT_ACCEPTED
from guavapulley.ports._admin import CHANGE_UNKNOWN
from guavapulley.ports._admin import READ_FAILED
from guavapulley.ports._admin import AcceptedChange
from guavapulley.ports._admin import AdminError
from guavapulley.ports._admin import AdminService
from guavapulley.ports._admin import ConfigurationView
from guavapulley.ports._admin import EntryRevision
from guavapulley.ports._admin import ExplainedAttempt
from guavapulley.ports._admin import ExplainedUpstream
from guavapulley.ports._admin import Explanation
from guavapulley.ports._admin import ReplicaView
from guavapulley.ports._admin import RevisionStatus
from guavapulley.ports._control import ControlPlane
from guavapulley.ports._errors import CALL_TIMEOUT
from guavapulley.ports._errors import DISK_FAILED
from guavapulley.ports._errors import INTERNAL_ERROR
from guavapulley.ports._errors import LOG_CORRUPT
from guavapulley.ports._errors import PEER_UNREACHABLE
from guavapulley.ports._errors import UPSTREAM_BROKEN
from guavapulley.ports._errors import UPSTREAM_NOT_REACHED
from guavapulley.ports._errors import UPSTREAM_WITHDRAWN
from guavapulley.ports._errors import UPSTREAM_WRONG_ANSWER
from guavapulley.ports._errors import DiskError
from guavapulley.ports._errors import PeerError
from guavapulley.ports._errors import PeerReplyError
from guavapulley.ports._errors import UpstreamError
from guavapulley.ports._forwarding import AnswerMetadata
from guavapulley.ports._forwarding import CallerMetadata
from guavapulley.ports._forwarding import ExchangeClient
from guavapulley.ports._forwarding import HeaderCodec
from guavapulley.ports._forwarding import LoadSample
from guavapulley.ports._http import HttpHandler
from guavapulley.ports._observability import REQUEST_ANSWERED_EVENT
from guavapulley.ports._observability import EventLimiter
from guavapulley.ports._observability import EventLog
from guavapulley.ports._observability import Metrics
from guavapulley.ports._observability import NullEventLog
from guavapulley.ports._observability import NullMetrics
from guavapulley.ports._peers import Codec
from guavapulley.ports._peers import PeerClient
from guavapulley.ports._peers import PeerClientPool
from guavapulley.ports._peers import PeerDialer
from guavapulley.ports._peers import PeerHandler
from guavapulley.ports._steering import Freshness
from guavapulley.ports._steering import SteeringView
from guavapulley.ports._steering import UpstreamObservation
from guavapulley.ports._storage import LogStore
from guavapulley.ports._storage import StateMachine
from guavapulley.ports._storage import StoredLog
from guavapulley.ports._upstreams import ReplyWriter
from guavapulley.ports._upstreams import RequestHandler
from guavapulley.ports._upstreams import UpstreamAnswer
from guavapulley.ports._upstreams import UpstreamClient

__all__ = [
    "INTERNAL_ERROR",
    "REQUEST_ANSWERED_EVENT",
    "AnswerMetadata",
    "CallerMetadata",
    "HeaderCodec",
    "ExchangeClient",
    "LoadSample",
    "CALL_TIMEOUT",
    "CHANGE_NOT_ACCEPTED",
    "CHANGE_UNKNOWN",
    "DISK_FAILED",
    "LOG_CORRUPT",
    "PEER_UNREACHABLE",
    "READ_FAILED",
    "UPSTREAM_BROKEN",
    "UPSTREAM_NOT_REACHED",
    "UPSTREAM_WITHDRAWN",
    "UPSTREAM_WRONG_ANSWER",
    "AcceptedChange",
    "AdminError",
    "AdminService",
    "Codec",
    "ConfigurationView",
    "ControlPlane",
    "DiskError",
    "EntryRevision",
    "EventLimiter",
    "EventLog",
    "ExplainedAttempt",
    "ExplainedUpstream",
    "Explanation",
    "Freshness",
    "HttpHandler",
    "UpstreamObservation",
    "LogStore",
    "Metrics",
    "NullEventLog",
    "NullMetrics",
    "PeerClient",
    "PeerClientPool",
    "PeerDialer",
    "PeerError",
    "PeerHandler",
    "PeerReplyError",
    "ReplicaView",
    "ReplyWriter",
    "RequestHandler",
    "RevisionStatus",
    "StateMachine",
    "SteeringView",
    "StoredLog",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamError",
]
