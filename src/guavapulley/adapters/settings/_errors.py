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
    "SETTINGS_SECTION_MISSING", "A section that the role requires is missing."
)
SETTINGS_SECTION_UNKNOWN = errors.register_code(
    "SETTINGS_SECTION_UNKNOWN", "The name or kind of a section is unknown."
)
SETTINGS_KEY_MISSING = errors.register_code(
    "SETTINGS_KEY_MISSING", "A required key is missing."
)
SETTINGS_KEY_UNKNOWN = errors.register_code(
    "SETTINGS_KEY_UNKNOWN", "A section has an unknown key."
)
SETTINGS_VALUE_INVALID = errors.register_code(
    "SETTINGS_VALUE_INVALID", "A name or value is not allowed."
)
SETTINGS_FILE_EXPOSED = errors.register_code(
    "SETTINGS_FILE_EXPOSED",
    "A token file can be read by its group or by others.",
)


class SettingsError(errors.GuavapulleyError):
    """A settings or steering file cannot be used.

    Attributes:
        file: File that has the error.
        section: Section that has the error; empty if the error concerns the
            whole file.
        key: Key that has the error; empty if the error concerns the whole
            section.
        problem: Description of the error.
        allowed: Description of the allowed values; may be empty.
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
        location = file or "settings"
        location += f", section [{section}]" if section else ""
        location += f", key {key}" if key else ""
        # A selector error ends with a caret below the selector; nothing may
        # follow it on its line.
        separator = "\n  allowed: " if "\n" in problem else "; allowed: "
        suffix = f"{separator}{allowed}" if allowed else ""
        super().__init__(
            code,
            f"{location}: {problem}{suffix}",
            file=file,
            section=section,
            key=key,
            problem=problem,
            allowed=allowed,
        )

    def with_location(
        self, file: str, section: str, key: str = ""
    ) -> "SettingsError":
        """Returns a copy of the error with its empty location fields set."""
        return SettingsError(
            self.code,
            self.problem,
            file=self.file or file,
            section=self.section or section,
            key=self.key or key,
            allowed=self.allowed,
        )
