"""The base exception of the package and the registry of error codes."""

from collections.abc import Mapping
from typing import Any

_DESCRIPTIONS: dict[str, str] = {}


def register_code(code: str, description: str) -> str:
    """Registers a stable error code with its description.

    Args:
        code: Upper-case word that identifies the error to programs.
        description: One sentence for the documentation for operators.

    Returns:
        The code, so that the calling module can assign it to a constant.

    Raises:
        ValueError: The code is already registered with another description.
    """
    registered = _DESCRIPTIONS.setdefault(code, description)
    if registered != description:
        raise ValueError(
            f"error code {code} is already registered with another description"
        )
    return code


def code_descriptions() -> Mapping[str, str]:
    """Returns the descriptions of all registered codes by code."""
    return dict(_DESCRIPTIONS)


class GuavapulleyError(Exception):
    """Base class of errors with a stable code.

    Attributes:
        code: Stable code, registered with `register_code`.
        message: Human-readable message.
        details: Machine-readable context; the values are JSON-compatible.
    """

    def __init__(self, code: str, message: str, **details: Any) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.details = details
