"""Gossip membership of entries and the registry of upstreams."""

from guavapulley.membership._entries import DEAD_AFTER_S
from guavapulley.membership._entries import SUSPECT_AFTER_S
from guavapulley.membership._errors import UPSTREAM_INVALID
from guavapulley.membership._errors import UPSTREAM_SUPERSEDED
from guavapulley.membership._errors import UPSTREAM_UNKNOWN
from guavapulley.membership._errors import MembershipError
from guavapulley.membership._gossip import GOSSIP_FANOUT
from guavapulley.membership._gossip import GOSSIP_INTERVAL_S
from guavapulley.membership._gossip import MAX_MESSAGE_RECORDS
from guavapulley.membership._gossip import Gossiper
from guavapulley.membership._registry import Registry
from guavapulley.membership._upstreams import EXPIRE_AFTER_S
from guavapulley.membership._upstreams import FORGET_AFTER_S

__all__ = [
    "DEAD_AFTER_S",
    "EXPIRE_AFTER_S",
    "FORGET_AFTER_S",
    "GOSSIP_FANOUT",
    "GOSSIP_INTERVAL_S",
    "MAX_MESSAGE_RECORDS",
    "SUSPECT_AFTER_S",
    "UPSTREAM_INVALID",
    "UPSTREAM_SUPERSEDED",
    "UPSTREAM_UNKNOWN",
    "Gossiper",
    "MembershipError",
    "Registry",
]
