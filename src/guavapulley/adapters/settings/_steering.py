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
    """Definition of one key of a section.

    Attributes:
        key: Name of the key in the file.
        attribute: Attribute of the configuration object.
        parse: Parses the value.
        render: Renders the value as text that `parse` reads.
        required: Whether the section requires the key.
    """

    key: str
    attribute: str
    parse: Callable[[str], Any]
    render: Callable[[Any], str] = str
    required: bool = False


@attrs.frozen
class _Kind:
    """Definition of one kind of section.

    Attributes:
        type: Class of the objects of the kind.
        parse_name: Parses the name in the section header.
        fields: Keys of the section, in the order in which they are rendered.
    """

    type: Callable[..., model.ConfigurationObject]
    parse_name: Callable[[str], str]
    fields: tuple[_Field, ...]


def _parse_traffic_class(text: str) -> model.TrafficClass:
    try:
        return model.TrafficClass(text)
    except ValueError as error:
        raise _values.invalid_value_error(
            f"{_ini.quote(text)} is not a traffic class",
            ", ".join(model.TrafficClass),
        ) from error


def _selector_field(
    key: str, parse: Callable[[str], str] = _values.parse_selector
) -> _Field:
    return _Field(key, key, parse, required=True)


_parse_non_negative = _values.make_integer_parser(0)
_parse_positive_integer = _values.make_integer_parser(1)
_render_number = _values.render_number
_KINDS = {
    "service": _Kind(
        model.Service,
        _values.parse_name,
        (
            _Field(
                "class", "traffic_class", _parse_traffic_class, required=True
            ),
            _Field("deadline_ms", "deadline_ms", _parse_positive_integer),
            _Field(
                "max_request_bytes", "max_request_bytes", _parse_non_negative
            ),
            _Field("max_answer_bytes", "max_answer_bytes", _parse_non_negative),
            _Field(
                "expected_answer_bytes",
                "expected_answer_bytes",
                _parse_non_negative,
            ),
        ),
    ),
    "intent": _Kind(
        model.Intent,
        _values.parse_name,
        (
            _selector_field("requests"),
            _selector_field("upstreams"),
            _Field(
                "share", "share_percent", _values.parse_percent, _render_number
            ),
            _Field(
                "priority",
                "priority",
                _values.make_integer_parser(-1_000_000, 1_000_000),
            ),
        ),
    ),
    "label": _Kind(
        model.LabelOverride,
        _values.parse_name,
        (
            _selector_field("upstreams", _values.parse_nonempty_selector),
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
        (_selector_field("upstreams", _values.parse_nonempty_selector),),
    ),
    "region": _Kind(
        model.RegionLimit,
        _values.parse_name,
        (
            _Field("max_in_flight", "max_in_flight", _parse_non_negative),
            _Field(
                "headroom",
                "headroom_percent",
                _values.parse_percent,
                _render_number,
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
                _render_number,
                required=True,
            ),
            _Field("max_entries", "max_entries", _parse_positive_integer),
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
        SettingsError: The file cannot be read or is invalid.
    """
    return parse_steering(_ini.read_text(path), str(path))


def parse_steering(
    text: str, file: str = "steering"
) -> tuple[model.ConfigurationObject, ...]:
    r"""Parses the text of a steering file.

    Args:
        text: INI text with one section for each object.
        file: File name for error messages.

    Returns:
        The objects, sorted by their keys.

    Raises:
        SettingsError: The text is invalid.

    >>> parse_steering("[drain rack-7]\nupstreams = rack = 7")
    (Drain(name='rack-7', upstreams='rack = 7'),)
    """
    objects_by_key: dict[model.ObjectKey, model.ConfigurationObject] = {}
    for section, values in _ini.parse_sections(text, file).items():
        obj = _parse_object(section, values, file)
        key = model.object_key(obj)
        if key in objects_by_key:
            raise _errors.SettingsError(
                _errors.SETTINGS_DUPLICATE,
                f"{key.kind} {key.name} is defined twice",
                file=file,
                section=section,
                allowed="each object once",
            )
        objects_by_key[key] = obj
    return tuple(objects_by_key[key] for key in sorted(objects_by_key))


def parse_object_key(kind: str, name: str) -> model.ObjectKey:
    """Returns the key of an object after checking its kind and name.

    Args:
        kind: Kind of the object.
        name: Name of the object, unique within its kind.

    Raises:
        SettingsError: There is no such kind, or the name is not allowed.
    """
    section_kind = _KINDS.get(kind)
    if section_kind is None:
        raise _errors.SettingsError(
            _errors.SETTINGS_SECTION_UNKNOWN,
            f"{_ini.quote(kind)} is not a kind of object",
            section=f"{kind} {name}",
            allowed=", ".join(
                f"[{allowed_kind} NAME]" for allowed_kind in KINDS
            ),
        )
    return model.ObjectKey(kind, section_kind.parse_name(name))


def _parse_object(
    section: str, values: dict[str, str], file: str
) -> model.ConfigurationObject:
    kind_name, _, name = section.strip().partition(" ")
    try:
        key = parse_object_key(kind_name, name.strip())
    except _errors.SettingsError as error:
        raise error.with_location(file, section) from error
    kind = _KINDS[kind_name]
    fields = {field.key: field for field in kind.fields}
    parsed: dict[str, Any] = {"name": key.name}
    for field_key, text in values.items():
        if field_key not in fields:
            raise _errors.SettingsError(
                _errors.SETTINGS_KEY_UNKNOWN,
                "the key is unknown",
                file=file,
                section=section,
                key=field_key,
                allowed=", ".join(fields),
            )
        try:
            parsed[fields[field_key].attribute] = fields[field_key].parse(text)
        except _errors.SettingsError as error:
            raise error.with_location(file, section, field_key) from error
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
        objects: Objects that pass `check_object`.

    Returns:
        Text from which `parse_steering` returns equal objects.
    """
    return "\n".join(render_object(obj) for obj in objects)


def render_object(obj: model.ConfigurationObject) -> str:
    """Renders one object as a section that ends with a line break.

    >>> print(render_object(model.Drain("rack-7", "rack = 7")), end="")
    [drain rack-7]
    upstreams = rack = 7
    """
    return "\n".join((*_render_lines(obj), ""))


def _render_lines(obj: model.ConfigurationObject) -> Iterator[str]:
    key = model.object_key(obj)
    yield f"[{key.kind} {key.name}]"
    for field in _KINDS[key.kind].fields:
        value = field.render(getattr(obj, field.attribute))
        yield f"{field.key} = {value}".rstrip()


def check_object(obj: model.ConfigurationObject) -> None:
    """Checks that a steering file can express an object.

    Args:
        obj: Object that does not come from a steering file, for example one
            from the administration API.

    Raises:
        SettingsError: A steering file cannot express the object.
    """
    key = model.object_key(obj)
    text = render_object(obj)
    if text.count("\n") != len(_KINDS[key.kind].fields) + 1:
        raise _values.invalid_value_error(
            f"{key.kind} {_ini.quote(key.name)} has line breaks in its values",
            "values without line breaks",
        )
    if parse_steering(text, "change") != (obj,):
        raise _values.invalid_value_error(
            f"{key.kind} {_ini.quote(key.name)} is not in canonical form",
            "values without extra spaces, and regions in alphabetical order",
        )
