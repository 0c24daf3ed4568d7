"""Errors of settings and steering files."""

from guavapulley import errors

SETTINGS_UNREADABLE = errors.register_code(
    "SETTINGS_UNREADABLE",
    "A settings, steering or token file could not be read.",
)
SETTINGS_SYNTAX = errors.register_code(
    "SETTINGS_SYNTAX", "A settings or steering file is not valid INI."
)
SETTINGS_DUPLICATE = errors.register_code(
    "SETTINGS_DUPLICATE", "A section or key is given twice."
)
SETTINGS_SECTION_MISSING = errors.register_code(
    "SETTINGS_SECTION_MISSING", "A section that the role needs is missing."
)
SETTINGS_SECTION_UNKNOWN = errors.register_code(
    "SETTINGS_SECTION_UNKNOWN", "A section has no known kind."
)
SETTINGS_KEY_MISSING = errors.register_code(
    "SETTINGS_KEY_MISSING", "A key that the section needs is missing."
)
SETTINGS_KEY_UNKNOWN = errors.register_code(
    "SETTINGS_KEY_UNKNOWN", "A section has a key that it does not know."
)
SETTINGS_VALUE_INVALID = errors.register_code(
    "SETTINGS_VALUE_INVALID", "A name or value is not one of those allowed."
)
SETTINGS_FILE_EXPOSED = errors.register_code(
    "SETTINGS_FILE_EXPOSED",
    "A token file can be read by its group or by others.",
)


class SettingsError(errors.GuavapulleyError):
    """A settings or steering file cannot be used.

    Attributes:
        file: File at fault.
        section: Section at fault; empty when the whole file is.
        key: Key at fault; empty when the whole section is.
        problem: What is wrong.
        allowed: What is allowed.
    """

    def __init__(
        self,
        code: str,
        problem: str,
        *,
        file: str = "",
        section: str = "",
        key: str = "",
        allowed: str = "",
    ) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.problem = problem
        self.allowed = allowed
        place = file or "settings"
        place += f", section [{section}]" if section else ""
        place += f", key {key}" if key else ""
        # The caret under a selector needs the end of its line.
        joint = "\n  allowed: " if "\n" in problem else "; allowed: "
        hint = f"{joint}{allowed}" if allowed else ""
        super().__init__(
            code,
            f"{place}: {problem}{hint}",
            file=file,
            section=section,
            key=key,
            problem=problem,
            allowed=allowed,
        )

    def at(self, file: str, section: str, key: str = "") -> "SettingsError":
        """Returns the same error with its place filled in."""
        return SettingsError(
            self.code,
            self.problem,
            file=self.file or file,
            section=self.section or section,
            key=self.key or key,
            allowed=self.allowed,
        )
