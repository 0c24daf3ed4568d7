"""Messages as msgpack, tagged with their type names."""

import typing

import attrs
from cattrs import strategies
import cattrs.preconf.msgpack
import msgpack

from guavapulley import errors
from guavapulley import model

CODEC_INVALID = errors.register_code(
    "CODEC_INVALID", "A message could not be decoded."
)


class CodecError(errors.GuavapulleyError):
    """The bytes are not a message of a known type."""


def _message_types() -> dict[str, type]:
    exported = (getattr(model, name) for name in model.__all__)
    return {
        message_type.__name__: message_type
        for message_type in exported
        if isinstance(message_type, type) and attrs.has(message_type)
    }


class MessageCodec:
    """Encodes attrs objects of `model` and of additional types.

    Args:
        additional_types: Further attrs classes that can be encoded.

    >>> codec = MessageCodec()
    >>> codec.decode(codec.encode(model.NodeAddress("127.0.0.1", 80)))
    NodeAddress(host='127.0.0.1', port=80)
    """

    def __init__(self, additional_types: typing.Iterable[type] = ()) -> None:
        self.types_by_name = _message_types() | {
            message_type.__name__: message_type
            for message_type in additional_types
        }
        self.converter = cattrs.preconf.msgpack.make_converter()
        for union in (model.ConfigurationObject, model.FleetCommand):
            strategies.configure_tagged_union(
                union, self.converter, tag_name="kind"
            )

    def encode(self, message: object) -> bytes:
        """Encodes a message with its type name."""
        body = self.converter.unstructure(message)
        return typing.cast(bytes, msgpack.packb([type(message).__name__, body]))

    def decode(self, data: bytes) -> object:
        """Decodes a message.

        Raises:
            CodecError: The bytes are not a message of a known type.
        """
        try:
            name, body = msgpack.unpackb(data)
            return self.converter.structure(body, self.types_by_name[name])
        except Exception as error:  # cattrs and msgpack share no base error
            raise CodecError(
                CODEC_INVALID, "the bytes are not a message of a known type"
            ) from error
