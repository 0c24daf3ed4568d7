"""Peer calls over plain TCP, for machines on which nng is too expensive.

See decision record 0012.
"""

from guavapulley.adapters.stream._client import StreamDialer
from guavapulley.adapters.stream._client import StreamPeerClient
from guavapulley.adapters.stream._server import serve_stream_peers

__all__ = ["StreamDialer", "StreamPeerClient", "serve_stream_peers"]
