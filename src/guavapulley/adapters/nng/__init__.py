"""Peer calls over pynng."""

from guavapulley.adapters.nng._client import NngDialer
from guavapulley.adapters.nng._client import NngPeerClient
from guavapulley.adapters.nng._server import serve_peers

__all__ = ["NngDialer", "NngPeerClient", "serve_peers"]
