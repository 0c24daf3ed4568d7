"""The base error of the package and the registry of error codes."""

from collections.abc import Mapping
from typing import Any

_DESCRIPTIONS: dict[str, str] = {}


def register_code(code: str, description: str) -> str:
    """Registers a stable error code with its meaning.

    Args:
        code: Upper-case word that identifies the error to programs.
        description: One sentence for the operator documentation.

    Returns:
        The code, so that a module can bind it to a constant.

    Raises:
        ValueError: The code is registered with another description.
    """
    known = _DESCRIPTIONS.setdefault(code, description)
    if known != description:
        raise ValueError(f"error code {code} is registered twice")
    return code


def code_descriptions() -> Mapping[str, str]:
    """Returns every registered code with its description."""
    return dict(_DESCRIPTIONS)


class GuavapulleyError(Exception):
    """An error with a stable code.

    Attributes:
        code: Registered code.
        message: Sentence for a person.
        details: Facts that programs may read; values are JSON-compatible.
    """

    def __init__(self, code: str, message: str, **details: Any) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.details = details
