"""Authenticated envelopes around peer messages."""

import hashlib
import hmac
import typing

import attrs
import msgpack

from guavapulley import errors
from guavapulley.adapters.codec import _codec

PEER_NOT_AUTHENTICATED = errors.register_code(
    "PEER_NOT_AUTHENTICATED", "A peer message has no valid authentication tag."
)
TAG_BYTES = hashlib.sha256().digest_size


@attrs.frozen
class Envelope:
    """A peer message with the fields that its transport adds.

    Attributes:
        sender: Name of the sending process.
        clock: Lamport counter of the sender.
        message: The message.
    """

    sender: str
    clock: int
    message: object


class EnvelopeCodec:
    """Encodes envelopes and verifies their tags in constant time.

    Args:
        codec: Codec of the messages.
        key: Cluster key, which all processes of the system share.
    """

    def __init__(self, codec: _codec.MessageCodec, key: bytes) -> None:
        self.codec = codec
        self.key = key

    def encode(self, envelope: Envelope) -> bytes:
        """Returns the authentication tag and the body of an envelope."""
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
        return self._compute_tag(body) + body

    def decode(self, data: bytes) -> Envelope:
        """Verifies and decodes an envelope.

        Raises:
            CodecError: The tag is invalid, or the body cannot be decoded.
        """
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(body)):
            raise _codec.CodecError(
                PEER_NOT_AUTHENTICATED,
                "the message has no valid authentication tag",
            )
        try:
            sender, clock, encoded_message = msgpack.unpackb(body)
        except Exception as error:
            raise _codec.CodecError(
                _codec.CODEC_INVALID, "the body is not an envelope"
            ) from error
        return Envelope(sender, clock, self.codec.decode(encoded_message))

    def _compute_tag(self, body: bytes) -> bytes:
        return hmac.digest(self.key, body, hashlib.sha256)
