"""Encoding of attrs messages by cattrs and msgpack."""

from guavapulley.adapters.codec._calls import handle_call
from guavapulley.adapters.codec._calls import make_error_reply
from guavapulley.adapters.codec._calls import unwrap_reply
from guavapulley.adapters.codec._codec import CODEC_INVALID
from guavapulley.adapters.codec._codec import CodecError
from guavapulley.adapters.codec._codec import MessageCodec
from guavapulley.adapters.codec._envelope import Envelope
from guavapulley.adapters.codec._envelope import EnvelopeCodec

__all__ = [
    "CODEC_INVALID",
    "CodecError",
    "Envelope",
    "EnvelopeCodec",
    "MessageCodec",
    "handle_call",
    "make_error_reply",
    "unwrap_reply",
]
