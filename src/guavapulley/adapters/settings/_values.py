"""Parsers of single values; callers add the location to the errors."""

from collections.abc import Callable
import ipaddress
import math
import re

from guavapulley import model
from guavapulley import selectors
from guavapulley.adapters.settings import _errors
from guavapulley.adapters.settings import _ini

MAX_NAME_CHARS = 128
# JSON readers that use doubles represent integers up to this one exactly.
MAX_INTEGER = 2**53
MAX_PORT = 65_535

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]*\Z")
_WORD = re.compile(r"[\w./:-]+\Z")
_INTEGER = re.compile(r"[0-9]{1,16}\Z")
_SIGNED = re.compile(r"-?[0-9]{1,16}\Z")
_SELECTOR_HINT = (
    "terms `key = value`, `key != value`, `key in (a, b)`, `key notin (a, b)`,"
    " `key` and `!key`, joined by commas"
)
_NUMBER = re.compile(r"[0-9]{1,16}(\.[0-9]{1,32})?([eE][+-]?[0-9]{1,3})?\Z")


def invalid_value_error(problem: str, allowed: str) -> _errors.SettingsError:
    """Returns an error for a value, without file, section and key."""
    return _errors.SettingsError(
        _errors.SETTINGS_VALUE_INVALID, problem, allowed=allowed
    )


def parse_name(text: str) -> str:
    """Parses the name of a node, region, service or object."""
    if len(text) > MAX_NAME_CHARS or not _NAME.match(text):
        raise invalid_value_error(
            f"{_ini.quote(text)} is not a valid name",
            f"1 to {MAX_NAME_CHARS} of A-Z a-z 0-9 . _ / -, the first one a"
            " letter or digit",
        )
    return text


def make_integer_parser(
    minimum: int, maximum: int = MAX_INTEGER
) -> Callable[[str], int]:
    """Returns a parser of integers from `minimum` to `maximum`."""

    def parse(text: str) -> int:
        if not _SIGNED.match(text) or not minimum <= int(text) <= maximum:
            raise invalid_value_error(
                f"{_ini.quote(text)} is not a whole number in range",
                f"a whole number from {minimum} to {maximum}",
            )
        return int(text)

    return parse


def parse_percent(text: str) -> float:
    """Parses a percentage; a percent sign may follow.

    >>> parse_percent("12.5 %")
    12.5
    """
    digits = text.removesuffix("%").rstrip()
    if not _NUMBER.match(digits) or not 0 <= float(digits) <= 100:
        raise invalid_value_error(
            f"{_ini.quote(text)} is not a percentage", "a number from 0 to 100"
        )
    return float(digits)


def parse_positive(text: str) -> float:
    """Parses a number greater than 0 and up to `MAX_INTEGER`."""
    if _NUMBER.match(text):
        number = float(text)
        if 0 < number <= MAX_INTEGER and math.isfinite(number):
            return number
    raise invalid_value_error(
        f"{_ini.quote(text)} is not a number in range",
        f"a number above 0 and up to {MAX_INTEGER}",
    )


def render_number(number: float) -> str:
    """Renders a number as text that is parsed to the same number.

    >>> render_number(30.0), render_number(12.5)
    ('30', '12.5')
    """
    return str(int(number)) if float(number).is_integer() else repr(number)


def parse_address(text: str) -> model.NodeAddress:
    """Parses an IPv4 address and TCP port.

    >>> parse_address("127.0.0.1:8080")
    NodeAddress(host='127.0.0.1', port=8080)
    """
    host, _, port = text.rpartition(":")
    try:
        number = ipaddress.IPv4Address(host)
        if not _INTEGER.match(port) or not 0 < int(port) <= MAX_PORT:
            raise ValueError(port)
    except ValueError as error:
        raise invalid_value_error(
            f"{_ini.quote(text)} is not an address",
            "an IPv4 address and a port, such as 10.0.0.1:8080",
        ) from error
    return model.NodeAddress(str(number), int(port))


def parse_addresses(text: str) -> tuple[model.NodeAddress, ...]:
    """Parses addresses that are separated by commas."""
    parts = (part.strip() for part in text.split(","))
    addresses = tuple(parse_address(part) for part in parts if part)
    if len(set(addresses)) != len(addresses):
        raise invalid_value_error(
            "an address is given twice", "each address once"
        )
    return addresses


def parse_labels(text: str) -> dict[str, str]:
    """Parses `key = value` pairs separated by commas.

    >>> parse_labels("rack = 7, canary =")
    {'rack': '7', 'canary': ''}
    """
    labels: dict[str, str] = {}
    for part in text.split(","):
        key, equals, value = (side.strip() for side in part.partition("="))
        if not equals or key in labels:
            raise invalid_value_error(
                f"{_ini.quote(part.strip())} is not a label or repeats a key",
                "`key = value` pairs separated by commas, each key once; an"
                " empty value removes the label",
            )
        labels[parse_word(key)] = parse_word(value) if value else ""
    if len(labels) > model.MAX_LABELS:
        raise invalid_value_error(
            "too many labels", f"at most {model.MAX_LABELS}"
        )
    return labels


def render_labels(labels: model.Labels) -> str:
    """Renders labels as text that `parse_labels` reads."""
    pairs = (f"{key} = {labels[key]}".rstrip() for key in sorted(labels))
    return ", ".join(pairs)


def parse_block(text: str) -> str:
    """Parses a block of caller addresses in CIDR notation."""
    try:
        return str(ipaddress.ip_network(text))
    except ValueError as error:
        raise invalid_value_error(
            f"{_ini.quote(text)} is not an address block",
            "CIDR notation without host bits, such as 10.1.0.0/16",
        ) from error


def parse_link(text: str) -> str:
    """Parses two regions and returns them in alphabetical order.

    >>> parse_link("za pb")
    'pb za'
    """
    regions = sorted({parse_name(part) for part in text.split()})
    if len(regions) != 2 or len(text.split()) != 2:
        raise invalid_value_error(
            f"{_ini.quote(text)} is not a pair of regions",
            "two different regions separated by a space",
        )
    return " ".join(regions)


def parse_word(text: str) -> str:
    """Parses a word of the selector language: the key or value of a label."""
    if len(text) > model.MAX_LABEL_CHARS or not _WORD.match(text):
        raise invalid_value_error(
            f"{_ini.quote(text)} is not a valid label key or value",
            f"1 to {model.MAX_LABEL_CHARS} letters, digits and _ . / : -",
        )
    return text


def parse_selector(text: str) -> str:
    """Checks a selector; the error message marks the invalid character."""
    try:
        selectors.parse(text)
    except selectors.SelectorError as error:
        raise invalid_value_error(error.message, _SELECTOR_HINT) from error
    if not text.isprintable():
        raise invalid_value_error(
            f"{_ini.quote(text)} has control characters", _SELECTOR_HINT
        )
    return text


def parse_nonempty_selector(text: str) -> str:
    """Checks a selector that must not match every upstream.

    An empty value is more likely a mistake than a request to drain every
    upstream.
    """
    if not text:
        raise invalid_value_error("the selector is empty", _SELECTOR_HINT)
    return parse_selector(text)
