"""Immutable data types and messages shared by all packages."""

from guavapulley.model._configuration import OBJECT_KINDS
from guavapulley.model._configuration import Change
from guavapulley.model._configuration import ClientBlock
from guavapulley.model._configuration import Configuration
from guavapulley.model._configuration import ConfigurationObject
from guavapulley.model._configuration import Drain
from guavapulley.model._configuration import Intent
from guavapulley.model._configuration import LabelOverride
from guavapulley.model._configuration import LinkCap
from guavapulley.model._configuration import ObjectKey
from guavapulley.model._configuration import RegionLimit
from guavapulley.model._configuration import Service
from guavapulley.model._configuration import TrafficClass
from guavapulley.model._configuration import Verdict
from guavapulley.model._configuration import VerdictKind
from guavapulley.model._configuration import object_key
from guavapulley.model._fleet import Acknowledged
from guavapulley.model._fleet import ChangeRouting
from guavapulley.model._fleet import FleetChanges
from guavapulley.model._fleet import FleetCommand
from guavapulley.model._fleet import FleetState
from guavapulley.model._fleet import FleetUpdate
from guavapulley.model._fleet import FleetVerdict
from guavapulley.model._fleet import NodeRecord
from guavapulley.model._fleet import ProposeCommand
from guavapulley.model._fleet import RecordNode
from guavapulley.model._fleet import RecordUpstream
from guavapulley.model._fleet import RemoveNode
from guavapulley.model._fleet import RemoveUpstream
from guavapulley.model._fleet import ReportHeard
from guavapulley.model._fleet import SetEvacuation
from guavapulley.model._fleet import WatchFleet
from guavapulley.model._fleet import apply_fleet_command
from guavapulley.model._fleet import apply_fleet_commands
from guavapulley.model._messages import ClaimKey
from guavapulley.model._messages import ClaimReply
from guavapulley.model._messages import ClaimStatus
from guavapulley.model._messages import ContactsReply
from guavapulley.model._messages import EntryContact
from guavapulley.model._messages import EntryRecord
from guavapulley.model._messages import EntryState
from guavapulley.model._messages import ErrorReply
from guavapulley.model._messages import GetContacts
from guavapulley.model._messages import GetOutcome
from guavapulley.model._messages import Gossip
from guavapulley.model._messages import GossipReply
from guavapulley.model._messages import LeaseShare
from guavapulley.model._messages import LeaseShareReply
from guavapulley.model._messages import PeerMessage
from guavapulley.model._messages import ProposeChange
from guavapulley.model._messages import RecordOutcome
from guavapulley.model._messages import RecordReply
from guavapulley.model._messages import ReleaseClaim
from guavapulley.model._messages import ShareDemand
from guavapulley.model._messages import ShareGrant
from guavapulley.model._messages import WatchConfiguration
from guavapulley.model._messages import WatchReply
from guavapulley.model._replication import AppendEntries
from guavapulley.model._replication import AppendEntriesReply
from guavapulley.model._replication import EntryKind
from guavapulley.model._replication import GetStatus
from guavapulley.model._replication import InstallSnapshot
from guavapulley.model._replication import InstallSnapshotReply
from guavapulley.model._replication import JoinCluster
from guavapulley.model._replication import JoinReply
from guavapulley.model._replication import LogEntry
from guavapulley.model._replication import ReadIndex
from guavapulley.model._replication import ReadIndexReply
from guavapulley.model._replication import ReplicaIdentity
from guavapulley.model._replication import ReplicaMember
from guavapulley.model._replication import ReplicaSet
from guavapulley.model._replication import ReplicaStatus
from guavapulley.model._replication import RequestVote
from guavapulley.model._replication import RequestVoteReply
from guavapulley.model._replication import Snapshot
from guavapulley.model._requests import KEY_RETENTION_S
from guavapulley.model._requests import MAX_KEY_CLOCK_SKEW_S
from guavapulley.model._requests import Answer
from guavapulley.model._requests import AnswerHead
from guavapulley.model._requests import Headers
from guavapulley.model._requests import HttpRequest
from guavapulley.model._requests import OutcomeKind
from guavapulley.model._requests import SteeredRequest
from guavapulley.model._requests import StoredOutcome
from guavapulley.model._routing import CallerLimits
from guavapulley.model._routing import Destination
from guavapulley.model._routing import Repeatability
from guavapulley.model._routing import Route
from guavapulley.model._routing import RoutingChange
from guavapulley.model._routing import RoutingTable
from guavapulley.model._routing import ServicePolicy
from guavapulley.model._routing import apply_routing_change
from guavapulley.model._upstreams import MAX_LABEL_CHARS
from guavapulley.model._upstreams import MAX_LABELS
from guavapulley.model._upstreams import Labels
from guavapulley.model._upstreams import LoadReport
from guavapulley.model._upstreams import NodeAddress
from guavapulley.model._upstreams import UpstreamRecord
from guavapulley.model._upstreams import UpstreamState

__all__ = [
    "Acknowledged",
    "ChangeRouting",
    "FleetChanges",
    "FleetCommand",
    "FleetState",
    "FleetUpdate",
    "FleetVerdict",
    "NodeRecord",
    "ProposeCommand",
    "RecordNode",
    "RecordUpstream",
    "RemoveNode",
    "RemoveUpstream",
    "ReportHeard",
    "SetEvacuation",
    "WatchFleet",
    "apply_fleet_command",
    "apply_fleet_commands",
    "CallerLimits",
    "Destination",
    "Repeatability",
    "Route",
    "RoutingChange",
    "RoutingTable",
    "ServicePolicy",
    "apply_routing_change",
    "KEY_RETENTION_S",
    "MAX_KEY_CLOCK_SKEW_S",
    "ContactsReply",
    "EntryContact",
    "GetContacts",
    "MAX_LABELS",
    "MAX_LABEL_CHARS",
    "OBJECT_KINDS",
    "Answer",
    "AnswerHead",
    "AppendEntries",
    "AppendEntriesReply",
    "Change",
    "ClaimKey",
    "ClaimReply",
    "ClaimStatus",
    "ClientBlock",
    "Configuration",
    "ConfigurationObject",
    "Drain",
    "EntryKind",
    "EntryRecord",
    "EntryState",
    "ErrorReply",
    "GetOutcome",
    "GetStatus",
    "Gossip",
    "GossipReply",
    "Headers",
    "HttpRequest",
    "InstallSnapshot",
    "InstallSnapshotReply",
    "Intent",
    "JoinCluster",
    "JoinReply",
    "LabelOverride",
    "Labels",
    "LeaseShare",
    "LeaseShareReply",
    "LinkCap",
    "LoadReport",
    "LogEntry",
    "NodeAddress",
    "ObjectKey",
    "OutcomeKind",
    "PeerMessage",
    "ProposeChange",
    "ReadIndex",
    "ReadIndexReply",
    "RecordOutcome",
    "RecordReply",
    "RegionLimit",
    "ReleaseClaim",
    "ReplicaIdentity",
    "ReplicaMember",
    "ReplicaSet",
    "ReplicaStatus",
    "RequestVote",
    "RequestVoteReply",
    "Service",
    "ShareDemand",
    "ShareGrant",
    "Snapshot",
    "SteeredRequest",
    "StoredOutcome",
    "TrafficClass",
    "UpstreamRecord",
    "UpstreamState",
    "Verdict",
    "VerdictKind",
    "WatchConfiguration",
    "WatchReply",
    "object_key",
]
