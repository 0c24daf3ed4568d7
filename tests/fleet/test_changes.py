"""Guards against replicas that encode the same changes for each entry."""

import attrs
import pytest

from guavapulley import model
from guavapulley.fleet import _changes
from tests.fleet import conftest


@attrs.define
class CountingCodec:
    """Codec that counts the encoded messages."""

    count: int = 0

    def encode(self, message):
        self.count += 1
        return conftest.CODEC.encode(message)


@pytest.fixture
def encoder(log):
    return _changes.ChangesEncoder(log.machine, CountingCodec())


def test_entries_with_the_same_state_share_an_encoding(log, encoder):
    log.apply(conftest.change(1, 0))
    log.apply(conftest.change(2, 1))
    for _ in range(195):
        changes = conftest.CODEC.decode(encoder.encode_after(1))
        assert [c.change.version for c in changes.changes] == [2]
        complete = conftest.CODEC.decode(encoder.encode_after(0))
        assert complete.state == log.machine.state
    assert encoder.codec.count == 2


def test_a_new_command_replaces_the_encodings(log, encoder):
    log.apply(conftest.change(1, 0))
    encoder.encode_after(0)
    log.apply(model.SetEvacuation("bkk-a", True))
    complete = conftest.CODEC.decode(encoder.encode_after(0))
    assert complete.state.evacuated == ("bkk-a",)
    assert list(encoder.encoded) == [0]


def test_an_entry_that_is_ahead_gets_no_changes(log, encoder):
    log.apply(conftest.change(1, 0))
    assert encoder.encode_after(1) == b""
    assert encoder.encode_after(5) == b""


def test_entries_behind_by_large_changes_get_one_state(log, encoder):
    """The changes together exceeded what a slow link passes in time."""
    routes = [conftest.route(f"r{number}") for number in range(2_000)]
    for version in range(1, 13):
        log.apply(conftest.change(version, version - 1, routes=tuple(routes)))
    table_bytes = len(conftest.CODEC.encode(log.machine.state))
    for index in range(1, 11):
        assert len(encoder.encode_after(index)) < 2 * table_bytes + 1_048_576
    assert conftest.CODEC.decode(encoder.encode_after(1)).state is not None


def test_encodings_for_many_entries_are_limited_in_size(log, encoder):
    """Each of 195 entries behind by other commands kept up to 1 MiB."""
    routes = tuple(conftest.route(f"r{number}") for number in range(40))
    for version in range(1, 101):
        log.apply(conftest.change(version, version - 1, routes=routes))
    for index in range(1, 100):
        encoder.encode_after(index)
    kept = [len(data) for data in encoder.encoded.values()]
    assert sum(kept) == encoder.size_bytes <= 4 * 1_048_576
    assert len(kept) > 4
