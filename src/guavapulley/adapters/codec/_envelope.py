"""Authenticated envelopes around peer messages."""

import hashlib
import hmac
import typing

import attrs
import msgpack

from guavapulley import errors
from guavapulley.adapters.codec import _codec

PEER_NOT_AUTHENTICATED = errors.register_code(
    "PEER_NOT_AUTHENTICATED", "A peer message has no valid tag."
)
TAG_BYTES = hashlib.sha256().digest_size


@attrs.frozen
class Envelope:
    """A peer message with what its transport adds.

    Attributes:
        sender: Name of the sending process.
        clock: Lamport counter of the sender.
        message: The message.
    """

    sender: str
    clock: int
    message: object


class EnvelopeCodec:
    """Encodes envelopes and checks their tags in constant time.

    Args:
        codec: Codec of the messages.
        key: Cluster key shared by all processes of the system.
    """

    def __init__(self, codec: _codec.MessageCodec, key: bytes) -> None:
        self.codec = codec
        self.key = key

    def encode(self, envelope: Envelope) -> bytes:
        """Returns tag and body of an envelope."""
        body = typing.cast(
            bytes,
            msgpack.packb(
                [
                    envelope.sender,
                    envelope.clock,
                    self.codec.encode(envelope.message),
                ]
            ),
        )
        return self._tag(body) + body

    def decode(self, data: bytes) -> Envelope:
        """Checks and decodes an envelope.

        Raises:
            CodecError: The tag is wrong or the body is no envelope.
        """
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise _codec.CodecError(
                PEER_NOT_AUTHENTICATED, "the message has no valid tag"
            )
        try:
            sender, clock, inner = msgpack.unpackb(body)
        except Exception as error:
            raise _codec.CodecError(
                _codec.CODEC_INVALID, "the body is no envelope"
            ) from error
        return Envelope(sender, clock, self.codec.decode(inner))

    def _tag(self, body: bytes) -> bytes:
        return hmac.digest(self.key, body, hashlib.sha256)
