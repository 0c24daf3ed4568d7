"""Steering files: configuration objects as INI sections."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
from typing import Any

import attrs

from guavapulley import model
from guavapulley.adapters.settings import _errors
from guavapulley.adapters.settings import _ini
from guavapulley.adapters.settings import _values


@attrs.frozen
class _Field:
    """One key of a section.

    Attributes:
        key: Name in the file.
        attribute: Attribute of the object.
        parse: Parses the value.
        render: Renders the value for `parse`.
        required: Whether the section needs the key.
    """

    key: str
    attribute: str
    parse: Callable[[str], Any]
    render: Callable[[Any], str] = str
    required: bool = False


@attrs.frozen
class _Kind:
    """One kind of section.

    Attributes:
        type: Class of its objects.
        parse_name: Parses the name in the section header.
        fields: Keys, in the order in which they are rendered.
    """

    type: Callable[..., model.ConfigurationObject]
    parse_name: Callable[[str], str]
    fields: tuple[_Field, ...]


def _parse_class(text: str) -> model.TrafficClass:
    try:
        return model.TrafficClass(text)
    except ValueError as error:
        raise _values.invalid(
            f"{_ini.quoted(text)} is no traffic class",
            ", ".join(model.TrafficClass),
        ) from error


def _selector(
    key: str, parse: Callable[[str], str] = _values.parse_selector
) -> _Field:
    return _Field(key, key, parse, required=True)


_COUNT = _values.integer_parser(0)
_POSITIVE = _values.integer_parser(1)
_NUMBER = _values.render_number
_KINDS = {
    "service": _Kind(
        model.Service,
        _values.parse_name,
        (
            _Field("class", "traffic_class", _parse_class, required=True),
            _Field("deadline_ms", "deadline_ms", _POSITIVE),
            _Field("max_request_bytes", "max_request_bytes", _COUNT),
            _Field("max_answer_bytes", "max_answer_bytes", _COUNT),
            _Field("expected_answer_bytes", "expected_answer_bytes", _COUNT),
        ),
    ),
    "intent": _Kind(
        model.Intent,
        _values.parse_name,
        (
            _selector("requests"),
            _selector("upstreams"),
            _Field("share", "share_percent", _values.parse_percent, _NUMBER),
            _Field(
                "priority",
                "priority",
                _values.integer_parser(-1_000_000, 1_000_000),
            ),
        ),
    ),
    "label": _Kind(
        model.LabelOverride,
        _values.parse_name,
        (
            _selector("upstreams", _values.parse_narrow_selector),
            _Field(
                "labels",
                "labels",
                _values.parse_labels,
                _values.render_labels,
                required=True,
            ),
        ),
    ),
    "drain": _Kind(
        model.Drain,
        _values.parse_name,
        (_selector("upstreams", _values.parse_narrow_selector),),
    ),
    "region": _Kind(
        model.RegionLimit,
        _values.parse_name,
        (
            _Field("max_in_flight", "max_in_flight", _COUNT),
            _Field(
                "headroom", "headroom_percent", _values.parse_percent, _NUMBER
            ),
        ),
    ),
    "link": _Kind(
        model.LinkCap,
        _values.parse_link,
        (
            _Field(
                "cap_mbit_per_s",
                "mbit_per_s",
                _values.parse_positive,
                _NUMBER,
                required=True,
            ),
            _Field("max_entries", "max_entries", _POSITIVE),
        ),
    ),
    "block": _Kind(
        model.ClientBlock,
        _values.parse_block,
        (_Field("region", "region", _values.parse_name, required=True),),
    ),
}
KINDS = tuple(_KINDS)


def load_steering(path: pathlib.Path) -> tuple[model.ConfigurationObject, ...]:
    """Reads a steering file.

    Args:
        path: File in the format of `parse_steering`.

    Raises:
        SettingsError: The file cannot be used.
    """
    return parse_steering(_ini.read_text(path), str(path))


def parse_steering(
    text: str, file: str = "steering"
) -> tuple[model.ConfigurationObject, ...]:
    r"""Parses the text of a steering file.

    Args:
        text: INI text with one section for each object.
        file: Name for error messages.

    Returns:
        The objects in the order of their keys.

    Raises:
        SettingsError: The text cannot be used.

    >>> parse_steering("[drain rack-7]\nupstreams = rack = 7")
    (Drain(name='rack-7', upstreams='rack = 7'),)
    """
    table: dict[model.ObjectKey, model.ConfigurationObject] = {}
    for section, values in _ini.parse_sections(text, file).items():
        item = _parse_object(section, values, file)
        key = model.object_key(item)
        if key in table:
            raise _errors.SettingsError(
                _errors.SETTINGS_DUPLICATE,
                f"{key.kind} {key.name} is given twice",
                file=file,
                section=section,
                allowed="each object once",
            )
        table[key] = item
    return tuple(table[key] for key in sorted(table))


def parse_object_key(kind: str, name: str) -> model.ObjectKey:
    """Checks the kind and name of an object.

    Args:
        kind: Kind of section.
        name: Name within the kind.

    Raises:
        SettingsError: There is no such kind, or the name is not allowed.
    """
    found = _KINDS.get(kind)
    if found is None:
        raise _errors.SettingsError(
            _errors.SETTINGS_SECTION_UNKNOWN,
            f"{_ini.quoted(kind)} is no kind of object",
            section=f"{kind} {name}",
            allowed=", ".join(f"[{known} NAME]" for known in KINDS),
        )
    return model.ObjectKey(kind, found.parse_name(name))


def _parse_object(
    section: str, values: dict[str, str], file: str
) -> model.ConfigurationObject:
    word, _, name = section.strip().partition(" ")
    try:
        key = parse_object_key(word, name.strip())
    except _errors.SettingsError as error:
        raise error.at(file, section) from error
    kind = _KINDS[word]
    fields = {field.key: field for field in kind.fields}
    parsed: dict[str, Any] = {"name": key.name}
    for given, text in values.items():
        if given not in fields:
            raise _errors.SettingsError(
                _errors.SETTINGS_KEY_UNKNOWN,
                "the key is unknown",
                file=file,
                section=section,
                key=given,
                allowed=", ".join(fields),
            )
        try:
            parsed[fields[given].attribute] = fields[given].parse(text)
        except _errors.SettingsError as error:
            raise error.at(file, section, given) from error
    for field in kind.fields:
        if field.required and field.key not in values:
            raise _errors.SettingsError(
                _errors.SETTINGS_KEY_MISSING,
                "the key is missing",
                file=file,
                section=section,
                key=field.key,
                allowed=f"keys {', '.join(fields)}",
            )
    return kind.type(**parsed)


def render_steering(objects: Iterable[model.ConfigurationObject]) -> str:
    """Renders objects as the text of a steering file.

    Args:
        objects: Objects that `parse_steering` could have returned.

    Returns:
        Text from which `parse_steering` returns equal objects.
    """
    return "\n".join(render_object(item) for item in objects)


def render_object(item: model.ConfigurationObject) -> str:
    """Renders one object as a section, with a line break at its end.

    >>> print(render_object(model.Drain("rack-7", "rack = 7")), end="")
    [drain rack-7]
    upstreams = rack = 7
    """
    return "\n".join((*_lines(item), ""))


def _lines(item: model.ConfigurationObject) -> Iterator[str]:
    key = model.object_key(item)
    yield f"[{key.kind} {key.name}]"
    for field in _KINDS[key.kind].fields:
        value = field.render(getattr(item, field.attribute))
        yield f"{field.key} = {value}".rstrip()


def check_object(item: model.ConfigurationObject) -> None:
    """Checks an object that does not come from a steering file.

    Args:
        item: Object, for example from the administration API.

    Raises:
        SettingsError: A steering file cannot express the object.
    """
    key = model.object_key(item)
    text = render_object(item)
    if text.count("\n") != len(_KINDS[key.kind].fields) + 1:
        raise _values.invalid(
            f"{key.kind} {_ini.quoted(key.name)} has line breaks in its values",
            "values of one line",
        )
    if parse_steering(text, "change") != (item,):
        raise _values.invalid(
            f"{key.kind} {_ini.quoted(key.name)} is not in its plain form",
            "values without extra blanks, and regions in alphabetic order",
        )
