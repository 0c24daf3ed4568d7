"""Settings of one process."""

from collections.abc import Callable
import enum
import pathlib
import stat
from typing import Any

import attrs

from guavapulley import model
from guavapulley.adapters.settings import _errors
from guavapulley.adapters.settings import _ini
from guavapulley.adapters.settings import _values

MIN_TOKEN_CHARS = 16


class Role(enum.StrEnum):
    """Long-running role of a process."""

    CONTROL = "control"
    ENTRY = "entry"


@attrs.frozen
class ProcessSettings:
    """Settings of one process.

    Attributes:
        role: Role that the process runs.
        node: Name of the VM.
        region: Its region.
        failure_domain: Its failure domain.
        http: Address for everything outside the system.
        peer: Address for the system's own processes.
        announced_http: HTTP address that others use; `http` by default.
        announced_peer: Peer address that others use; `peer` by default.
        control_peers: Peer addresses of the control replicas.
        entry_seeds: Peer addresses of entries to join through.
        data_folder: Folder for durable state; only control needs one.
        log_file: File of JSON lines.
        statsd: Where metrics are sent, if anywhere.
        cluster_key: Key of the envelopes between processes.
        operator_token: Bearer token of operators.
        upstream_token: Bearer token of upstreams; only entries need one.
    """

    role: Role
    node: str
    region: str
    failure_domain: str
    http: model.NodeAddress
    peer: model.NodeAddress
    announced_http: model.NodeAddress
    announced_peer: model.NodeAddress
    control_peers: tuple[model.NodeAddress, ...]
    entry_seeds: tuple[model.NodeAddress, ...]
    data_folder: pathlib.Path | None
    log_file: pathlib.Path
    statsd: model.NodeAddress | None
    cluster_key: bytes = attrs.field(repr=False)
    operator_token: str = attrs.field(repr=False)
    upstream_token: str = attrs.field(repr=False, default="")

    def secrets(self) -> tuple[str, ...]:
        """Returns the texts that must not be logged."""
        found = (
            self.cluster_key.decode("utf-8", "replace"),
            self.operator_token,
            self.upstream_token,
        )
        return tuple(text for text in found if text)


@attrs.frozen
class _Key:
    """One key of the settings file.

    Attributes:
        section: Section that it belongs to.
        name: Its name in the file.
        attribute: Attribute of `ProcessSettings`.
        parse: Parses the value, given the folder of the file.
        required_by: Roles that need it.
        default: Value when it is absent.
    """

    section: str
    name: str
    attribute: str
    parse: Callable[[str, pathlib.Path], Any]
    required_by: tuple[Role, ...] = tuple(Role)
    default: Any = None


def _plain(parse: Callable[[str], Any]) -> Callable[[str, pathlib.Path], Any]:
    return lambda text, folder: parse(text)


def _path(text: str, folder: pathlib.Path) -> pathlib.Path:
    if not text or "\0" in text:
        raise _values.invalid(f"{_ini.quoted(text)} is no path", "a path")
    return folder / text


def _token(text: str, folder: pathlib.Path) -> str:
    return read_token(_path(text, folder))


def read_token(path: pathlib.Path) -> str:
    """Reads a token file.

    Args:
        path: File with one line, without access for group and others.

    Raises:
        SettingsError: The file cannot be used.
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        raise _unreadable(path, error) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _errors.SettingsError(
            _errors.SETTINGS_FILE_EXPOSED,
            f"{path} has mode {stat.S_IMODE(mode):04o}",
            allowed="no access for group and others, such as mode 0600",
        )
    try:
        token = path.read_text(encoding="utf-8").strip()
    except OSError as error:
        raise _unreadable(path, error) from error
    except ValueError:
        token = ""
    if len(token) < MIN_TOKEN_CHARS or not token.isascii():
        # The token itself is left out of the message and of the cause.
        raise _values.invalid(
            f"{path} holds no token",
            f"one line of at least {MIN_TOKEN_CHARS} ASCII characters",
        )
    return token


def _unreadable(path: pathlib.Path, error: OSError) -> _errors.SettingsError:
    return _errors.SettingsError(
        _errors.SETTINGS_UNREADABLE,
        f"{path} cannot be read: {error.strerror}",
        allowed="a file that the process may read",
    )


def _key_bytes(text: str, folder: pathlib.Path) -> bytes:
    return _token(text, folder).encode()


_CONTROL_ONLY = (Role.CONTROL,)
_ENTRY_ONLY = (Role.ENTRY,)
_KEYS = (
    _Key("node", "name", "node", _plain(_values.parse_name)),
    _Key("node", "region", "region", _plain(_values.parse_name)),
    _Key(
        "node", "failure_domain", "failure_domain", _plain(_values.parse_name)
    ),
    _Key("listen", "http", "http", _plain(_values.parse_address)),
    _Key("listen", "peer", "peer", _plain(_values.parse_address)),
    _Key(
        "announce", "http", "announced_http", _plain(_values.parse_address), ()
    ),
    _Key(
        "announce", "peer", "announced_peer", _plain(_values.parse_address), ()
    ),
    _Key("control", "peers", "control_peers", _plain(_values.parse_addresses)),
    _Key(
        "entries",
        "seeds",
        "entry_seeds",
        _plain(_values.parse_addresses),
        (),
        (),
    ),
    _Key("files", "data_folder", "data_folder", _path, _CONTROL_ONLY),
    _Key("files", "log_file", "log_file", _path),
    _Key("files", "cluster_key_file", "cluster_key", _key_bytes),
    _Key("files", "operator_token_file", "operator_token", _token),
    _Key(
        "files",
        "upstream_token_file",
        "upstream_token",
        _token,
        _ENTRY_ONLY,
        "",
    ),
    _Key("metrics", "statsd", "statsd", _plain(_values.parse_address), ()),
)


def load_process_settings(path: pathlib.Path, role: Role) -> ProcessSettings:
    """Reads and checks the settings of a process.

    Relative paths in the file start from the folder of the file.

    Args:
        path: INI file.
        role: Role that the process is to run.

    Raises:
        SettingsError: The file or a file that it names cannot be used.
    """
    return parse_process_settings(
        _ini.read_text(path), role, str(path), path.parent
    )


def parse_process_settings(
    text: str, role: Role, file: str, folder: pathlib.Path
) -> ProcessSettings:
    """Parses and checks the settings of a process.

    Args:
        text: INI text.
        role: Role that the process is to run.
        file: Name for error messages.
        folder: Where relative paths start.

    Raises:
        SettingsError: The text or a file that it names cannot be used.
    """
    sections = _ini.parse_sections(text, file)
    _check_names(sections, file)
    values = {
        key.attribute: _value(key, sections, role, file, folder)
        for key in _KEYS
    }
    if values["http"] == values["peer"]:
        raise _values.invalid(
            "the address is the one of key http", "two different addresses"
        ).at(file, "listen", "peer")
    if not values["control_peers"]:
        raise _values.invalid("the list is empty", "at least one address").at(
            file, "control", "peers"
        )
    for name in ("http", "peer"):
        values[f"announced_{name}"] = (
            values[f"announced_{name}"] or values[name]
        )
    return ProcessSettings(role=role, **values)


def _check_names(sections: _ini.Sections, file: str) -> None:
    known = list(dict.fromkeys(key.section for key in _KEYS))
    for section, values in sections.items():
        if section not in known:
            raise _errors.SettingsError(
                _errors.SETTINGS_SECTION_UNKNOWN,
                "the section is unknown",
                file=file,
                section=section,
                allowed=", ".join(known),
            )
        names = [key.name for key in _KEYS if key.section == section]
        for name in values:
            if name not in names:
                raise _errors.SettingsError(
                    _errors.SETTINGS_KEY_UNKNOWN,
                    "the key is unknown",
                    file=file,
                    section=section,
                    key=name,
                    allowed=", ".join(names),
                )


def _value(
    key: _Key,
    sections: _ini.Sections,
    role: Role,
    file: str,
    folder: pathlib.Path,
) -> Any:
    text = sections.get(key.section, {}).get(key.name)
    if text is None:
        if role not in key.required_by:
            return key.default
        if key.section not in sections:
            raise _errors.SettingsError(
                _errors.SETTINGS_SECTION_MISSING,
                f"the section is missing; role {role} needs its key {key.name}",
                file=file,
                section=key.section,
            )
        raise _errors.SettingsError(
            _errors.SETTINGS_KEY_MISSING,
            f"the key is missing; role {role} needs it",
            file=file,
            section=key.section,
            key=key.name,
        )
    try:
        return key.parse(text, folder)
    except _errors.SettingsError as error:
        raise error.at(file, key.section, key.name) from error
