"""Guards against processes that start with misread settings."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from guavapulley import model
from guavapulley.adapters import settings

VALID = """\
[node]
name = pb-1
region = pb
failure_domain = pb-a

[listen]
http = 127.0.0.1:8080
peer = 127.0.0.1:9080

[control]
peers = 127.0.0.1:9180, 127.0.0.1:9181

[files]
data_folder = data
log_file = log/control.log
cluster_key_file = key
operator_token_file = key
upstream_token_file = key
"""


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "key").write_text("0123456789abcdef\n")
    (tmp_path / "key").chmod(0o600)
    return tmp_path


def parse(text, folder, role=settings.Role.CONTROL):
    return settings.parse_process_settings(text, role, "s.ini", folder)


def test_valid_settings_are_read(folder):
    parsed = parse(VALID, folder)
    assert parsed.peer == model.NodeAddress("127.0.0.1", 9080)
    assert len(parsed.control_peers) == 2
    assert parsed.data_folder == folder / "data"
    assert parsed.statsd is None
    assert parsed.cluster_key == b"0123456789abcdef"


def test_announced_addresses_default_to_listen_addresses(folder):
    parsed = parse(VALID + "[announce]\npeer = 127.0.1.1:9080\n", folder)
    assert parsed.announced_peer == model.NodeAddress("127.0.1.1", 9080)
    assert parsed.announced_http == parsed.http


def test_secrets_are_not_in_the_repr(folder):
    assert "0123456789abcdef" not in repr(parse(VALID, folder))


INVALID = [
    ("name = pb-1", "name = pb 1", "SETTINGS_VALUE_INVALID", "node", "name"),
    ("name = pb-1", "nam = pb-1", "SETTINGS_KEY_UNKNOWN", "node", "nam"),
    ("name = pb-1", "", "SETTINGS_KEY_MISSING", "node", "name"),
    ("[listen]", "[listne]", "SETTINGS_SECTION_UNKNOWN", "listne", ""),
    ("[control]", "[DEFAULT]", "SETTINGS_SECTION_UNKNOWN", "DEFAULT", ""),
    (
        "[control]\npeers = 127.0.0.1:9180, 127.0.0.1:9181",
        "",
        "SETTINGS_SECTION_MISSING",
        "control",
        "",
    ),
    ("9180,", "9181,", "SETTINGS_VALUE_INVALID", "control", "peers"),
    (
        "127.0.0.1:8080",
        "localhost:8080",
        "SETTINGS_VALUE_INVALID",
        "listen",
        "http",
    ),
    (":8080", ":80800", "SETTINGS_VALUE_INVALID", "listen", "http"),
    (":9080", ":8080", "SETTINGS_VALUE_INVALID", "listen", "peer"),
    ("[node]", "name = x", "SETTINGS_SYNTAX", "", ""),
    ("region = pb", "name = pb-1", "SETTINGS_DUPLICATE", "node", "name"),
    (
        "cluster_key_file = key",
        "cluster_key_file = absent",
        "SETTINGS_UNREADABLE",
        "files",
        "cluster_key_file",
    ),
]


@pytest.mark.parametrize("old, new, code, section, key", INVALID)
def test_error_has_location_and_code(folder, old, new, code, section, key):
    assert old in VALID
    with pytest.raises(settings.SettingsError) as caught:
        parse(VALID.replace(old, new, 1), folder)
    error = caught.value
    assert (error.code, error.section, error.key) == (code, section, key)
    assert error.file == "s.ini"
    assert error.problem


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o620, 0o601])
def test_exposed_token_file_is_refused(folder, mode):
    (folder / "key").chmod(mode)
    with pytest.raises(settings.SettingsError) as caught:
        parse(VALID, folder)
    assert caught.value.code == settings.SETTINGS_FILE_EXPOSED


def test_short_token_is_refused_and_not_shown(folder):
    (folder / "key").write_text("hunter2")
    with pytest.raises(settings.SettingsError) as caught:
        parse(VALID, folder)
    assert caught.value.code == settings.SETTINGS_VALUE_INVALID
    assert "hunter2" not in str(caught.value)


def test_entry_needs_an_upstream_token_and_no_data_folder(folder):
    text = VALID.replace("data_folder = data\n", "")
    assert parse(text, folder, settings.Role.ENTRY).data_folder is None
    with pytest.raises(settings.SettingsError) as caught:
        parse(
            text.replace("upstream_token_file = key\n", ""),
            folder,
            settings.Role.ENTRY,
        )
    assert caught.value.key == "upstream_token_file"


@pytest.mark.parametrize("content", [b"\xff\xfe", None])
def test_unreadable_file_is_reported(tmp_path, content):
    path = tmp_path / "s.ini"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(settings.SettingsError):
        settings.load_process_settings(path, settings.Role.ENTRY)


LINES = strategies.lists(
    strategies.one_of(
        strategies.text(max_size=40),
        strategies.sampled_from(VALID.splitlines()),
    ),
    max_size=24,
).map("\n".join)


@hypothesis.given(LINES)
def test_arbitrary_text_raises_only_settings_errors(text):
    try:
        parse(text, pathlib.Path("/nonexistent"))
    except settings.SettingsError as error:
        assert error.code.startswith("SETTINGS_")
