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
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        http: Address on which the process listens for HTTP requests from
            outside of the system.
        peer: Address on which the process listens for calls of other processes
            of the system.
        announced_http: HTTP address that others connect to; `http` by default.
        announced_peer: Peer address that others connect to; `peer` by default.
        control_peers: Peer addresses of the control replicas.
        entry_seeds: Peer addresses of the entries that a new entry contacts
            first to join the others.
        data_folder: Folder for durable state; only control needs one.
        log_file: Log file in JSON Lines format.
        statsd: Address of the statsd server; None if no metrics are sent.
        cluster_key: Key that authenticates the envelopes between processes.
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
        """Returns the secret texts, which must not be logged."""
        texts = (
            self.cluster_key.decode("utf-8", "replace"),
            self.operator_token,
            self.upstream_token,
        )
        return tuple(text for text in texts if text)


@attrs.frozen
class _Key:
    """Definition of one key of the settings file.

    Attributes:
        section: Section that contains the key.
        name: Name of the key in the file.
        attribute: Attribute of `ProcessSettings` that receives the value.
        parse: Parses the value; its second argument is the folder of the
            settings file.
        required_by: Roles that require the key.
        default: Value if the key is absent and not required.
    """

    section: str
    name: str
    attribute: str
    parse: Callable[[str, pathlib.Path], Any]
    required_by: tuple[Role, ...] = tuple(Role)
    default: Any = None


def _ignore_folder(
    parse: Callable[[str], Any],
) -> Callable[[str, pathlib.Path], Any]:
    return lambda text, folder: parse(text)


def _parse_path(text: str, folder: pathlib.Path) -> pathlib.Path:
    if not text or "\0" in text:
        raise _values.invalid_value_error(
            f"{_ini.quote(text)} is not a valid path", "a path"
        )
    return folder / text


def _read_token_at(text: str, folder: pathlib.Path) -> str:
    return read_token(_parse_path(text, folder))


def read_token(path: pathlib.Path) -> str:
    """Reads a token file.

    Args:
        path: File with one line, to which group and others have no access.

    Raises:
        SettingsError: The file cannot be read, its mode gives access to
            others, or its content is not a valid token.
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        raise _unreadable_error(path, error) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise _errors.SettingsError(
            _errors.SETTINGS_FILE_EXPOSED,
            f"{path} has mode {stat.S_IMODE(mode):04o}",
            allowed="no access for group and others, such as mode 0600",
        )
    try:
        token = path.read_text(encoding="utf-8").strip()
    except OSError as error:
        raise _unreadable_error(path, error) from error
    except ValueError:
        token = ""
    if len(token) < MIN_TOKEN_CHARS or not token.isascii():
        # The token is secret: neither the message nor the cause of the error
        # may contain it.
        raise _values.invalid_value_error(
            f"{path} does not contain a valid token",
            f"one line of at least {MIN_TOKEN_CHARS} ASCII characters",
        )
    return token


def _unreadable_error(
    path: pathlib.Path, error: OSError
) -> _errors.SettingsError:
    return _errors.SettingsError(
        _errors.SETTINGS_UNREADABLE,
        f"{path} cannot be read: {error.strerror}",
        allowed="a file that the process may read",
    )


def _read_cluster_key(text: str, folder: pathlib.Path) -> bytes:
    return _read_token_at(text, folder).encode()


_CONTROL_ONLY = (Role.CONTROL,)
_ENTRY_ONLY = (Role.ENTRY,)
_KEYS = (
    _Key("node", "name", "node", _ignore_folder(_values.parse_name)),
    _Key("node", "region", "region", _ignore_folder(_values.parse_name)),
    _Key(
        "node",
        "failure_domain",
        "failure_domain",
        _ignore_folder(_values.parse_name),
    ),
    _Key("listen", "http", "http", _ignore_folder(_values.parse_address)),
    _Key("listen", "peer", "peer", _ignore_folder(_values.parse_address)),
    _Key(
        "announce",
        "http",
        "announced_http",
        _ignore_folder(_values.parse_address),
        (),
    ),
    _Key(
        "announce",
        "peer",
        "announced_peer",
        _ignore_folder(_values.parse_address),
        (),
    ),
    _Key(
        "control",
        "peers",
        "control_peers",
        _ignore_folder(_values.parse_addresses),
    ),
    _Key(
        "entries",
        "seeds",
        "entry_seeds",
        _ignore_folder(_values.parse_addresses),
        (),
        (),
    ),
    _Key("files", "data_folder", "data_folder", _parse_path, _CONTROL_ONLY),
    _Key("files", "log_file", "log_file", _parse_path),
    _Key("files", "cluster_key_file", "cluster_key", _read_cluster_key),
    _Key("files", "operator_token_file", "operator_token", _read_token_at),
    _Key(
        "files",
        "upstream_token_file",
        "upstream_token",
        _read_token_at,
        _ENTRY_ONLY,
        "",
    ),
    _Key(
        "metrics",
        "statsd",
        "statsd",
        _ignore_folder(_values.parse_address),
        (),
    ),
)


def load_process_settings(path: pathlib.Path, role: Role) -> ProcessSettings:
    """Reads and checks the settings of a process.

    Relative paths in the file are relative to the folder of the file.

    Args:
        path: INI file.
        role: Role that the process will run.

    Raises:
        SettingsError: The file or a file that it refers to is invalid.
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
        role: Role that the process will run.
        file: File name for error messages.
        folder: Folder that relative paths in the text are relative to.

    Raises:
        SettingsError: The text or a file that it refers to is invalid.
    """
    sections = _ini.parse_sections(text, file)
    _check_sections_and_keys(sections, file)
    values = {
        key.attribute: _parse_value(key, sections, role, file, folder)
        for key in _KEYS
    }
    if values["http"] == values["peer"]:
        raise _values.invalid_value_error(
            "the address equals that of key http", "two different addresses"
        ).with_location(file, "listen", "peer")
    if not values["control_peers"]:
        raise _values.invalid_value_error(
            "the list is empty", "at least one address"
        ).with_location(file, "control", "peers")
    for name in ("http", "peer"):
        values[f"announced_{name}"] = (
            values[f"announced_{name}"] or values[name]
        )
    return ProcessSettings(role=role, **values)


def _check_sections_and_keys(sections: _ini.Sections, file: str) -> None:
    section_names = list(dict.fromkeys(key.section for key in _KEYS))
    for section, values in sections.items():
        if section not in section_names:
            raise _errors.SettingsError(
                _errors.SETTINGS_SECTION_UNKNOWN,
                "the section is unknown",
                file=file,
                section=section,
                allowed=", ".join(section_names),
            )
        key_names = [key.name for key in _KEYS if key.section == section]
        for name in values:
            if name not in key_names:
                raise _errors.SettingsError(
                    _errors.SETTINGS_KEY_UNKNOWN,
                    "the key is unknown",
                    file=file,
                    section=section,
                    key=name,
                    allowed=", ".join(key_names),
                )


def _parse_value(
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
                f"the section is missing; role {role} requires its key"
                f" {key.name}",
                file=file,
                section=key.section,
            )
        raise _errors.SettingsError(
            _errors.SETTINGS_KEY_MISSING,
            f"the key is missing; role {role} requires it",
            file=file,
            section=key.section,
            key=key.name,
        )
    try:
        return key.parse(text, folder)
    except _errors.SettingsError as error:
        raise error.with_location(file, key.section, key.name) from error
