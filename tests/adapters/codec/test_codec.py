"""Guards against messages that change in transit or are forged."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from guavapulley import model
from guavapulley.adapters import codec

MESSAGES = [
    model.AppendEntries(
        "c",
        3,
        "r1",
        7,
        2,
        (model.LogEntry(8, 3, model.EntryKind.COMMAND, b"\x00\xff"),),
        6,
    ),
    model.ProposeChange(
        model.Change(
            "id",
            4,
            "op",
            (
                model.Service("line-status", model.TrafficClass.SHORT),
                model.Drain("d", "rack = 7"),
                model.LabelOverride("l", "upstream = a", {"rack": "7"}),
            ),
            (model.ObjectKey("intent", "x"),),
        )
    ),
    model.ClaimReply(
        model.ClaimStatus.EXISTS,
        model.StoredOutcome(
            "k",
            "h",
            "e",
            "r",
            5,
            1.5,
            model.OutcomeKind.COMPLETED,
            model.Answer(model.AnswerHead(200, (("a", "b"),), 2), b"ok"),
        ),
    ),
    model.Gossip(
        "e1",
        (),
        (
            model.UpstreamRecord(
                "u",
                "s",
                model.NodeAddress("127.0.0.1", 1),
                "pb",
                "pb1",
                6,
                330,
                {"rack": "7"},
                load=model.LoadReport(1, 2, 0.5),
            ),
        ),
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_is_decoded_as_it_was_encoded(message):
    messages = codec.MessageCodec()
    assert messages.decode(messages.encode(message)) == message


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused_with_a_code(data):
    with pytest.raises(codec.CodecError):
        codec.EnvelopeCodec(codec.MessageCodec(), b"key").decode(data)


def test_a_message_with_another_key_is_refused():
    encoded = codec.EnvelopeCodec(codec.MessageCodec(), b"one").encode(
        codec.Envelope("e1", 1, model.ReadIndex())
    )
    with pytest.raises(codec.CodecError) as caught:
        codec.EnvelopeCodec(codec.MessageCodec(), b"two").decode(encoded)
    assert caught.value.code == "PEER_NOT_AUTHENTICATED"
