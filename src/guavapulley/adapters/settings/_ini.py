"""Reads INI text; errors name the file, the section and the key."""

import configparser
import pathlib

from guavapulley.adapters.settings import _errors

MAX_FILE_BYTES = 16 * 1_048_576
MAX_QUOTED_CHARS = 80

Sections = dict[str, dict[str, str]]


def quote(text: str) -> str:
    """Returns text quoted, escaped and shortened for an error message.

    >>> quote("12x")
    "'12x'"
    """
    if len(text) > MAX_QUOTED_CHARS:
        text = text[: MAX_QUOTED_CHARS - 3] + "..."
    return ascii(text)


def read_text(path: pathlib.Path) -> str:
    """Reads a settings file.

    Args:
        path: File in UTF-8.

    Raises:
        SettingsError: The file cannot be read or is too large.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise _errors.SettingsError(
                _errors.SETTINGS_UNREADABLE,
                "the file is too large",
                file=str(path),
                allowed=f"at most {MAX_FILE_BYTES} bytes",
            )
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise _errors.SettingsError(
            _errors.SETTINGS_UNREADABLE,
            f"cannot be read: {error.strerror}",
            file=str(path),
            allowed="a file that the process may read",
        ) from error
    except ValueError as error:
        raise _errors.SettingsError(
            _errors.SETTINGS_SYNTAX,
            "the file is not UTF-8 text",
            file=str(path),
            allowed="INI text in UTF-8",
        ) from error


def parse_sections(text: str, file: str) -> Sections:
    """Parses INI text and collapses each run of whitespace in a value.

    Args:
        text: INI text with `=` between key and value; lines that start with
            `#` or `;` are comments, and an indented line continues a value.
        file: File name for error messages.

    Returns:
        The values by section and key.

    Raises:
        SettingsError: The text is not valid INI.
    """
    parser = configparser.ConfigParser(
        delimiters=("=",),
        default_section="",  # a file cannot contain an empty section name
        interpolation=None,
        empty_lines_in_values=False,
    )
    # Keys are case-sensitive, because labels are.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        raise _syntax_error(error, file) from error
    except (AttributeError, TypeError, ValueError) as error:
        # configparser raises these for some malformed lines.
        raise _errors.SettingsError(
            _errors.SETTINGS_SYNTAX,
            "the text is not valid INI",
            file=file,
            allowed="sections in brackets and lines `key = value`",
        ) from error
    return {
        name: {key: " ".join(value.split()) for key, value in section.items()}
        for name, section in parser.items()
        if name
    }


def _syntax_error(
    error: configparser.Error, file: str
) -> _errors.SettingsError:
    code = _errors.SETTINGS_SYNTAX
    problem, allowed = "the text is not valid INI", "lines `key = value`"
    section = key = ""
    if isinstance(error, configparser.DuplicateOptionError):
        code, section, key = (
            _errors.SETTINGS_DUPLICATE,
            *_section_and_key(error),
        )
        problem = f"line {error.lineno} repeats the key"
        allowed = "each key once in a section"
    elif isinstance(error, configparser.DuplicateSectionError):
        code, section = _errors.SETTINGS_DUPLICATE, error.section
        problem = f"line {error.lineno} repeats the section"
        allowed = "each section once"
    elif isinstance(error, configparser.MissingSectionHeaderError):
        problem = f"line {error.lineno} is before the first section"
        allowed = "a section header in brackets first"
    elif isinstance(error, configparser.ParsingError) and error.errors:
        number, line = error.errors[0]
        problem = f"line {number} is not a setting: {quote(line)}"
    return _errors.SettingsError(
        code, problem, file=file, section=section, key=key, allowed=allowed
    )


def _section_and_key(
    error: configparser.DuplicateOptionError,
) -> tuple[str, str]:
    return (error.section, error.option)
