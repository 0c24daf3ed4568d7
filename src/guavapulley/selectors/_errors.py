"""Errors in the text of a selector."""

from guavapulley import errors

SELECTOR_INVALID = errors.register_code(
    "SELECTOR_INVALID", "The text is not a selector."
)
SELECTOR_TOO_LONG = errors.register_code(
    "SELECTOR_TOO_LONG", "The text of a selector has too many characters."
)
SELECTOR_TOO_MANY_TERMS = errors.register_code(
    "SELECTOR_TOO_MANY_TERMS", "A selector has too many terms."
)


class SelectorError(errors.GuavapulleyError):
    """A text that is not a selector.

    The message shows the text with a caret under the offending character.

    Attributes:
        text: The text.
        position: Index of the offending character; the length of the text when
            the text ends too early.
    """

    def __init__(
        self, code: str, reason: str, text: str, position: int
    ) -> None:
        # Line breaks and control characters would displace the caret.
        shown = "".join(c if c.isprintable() else " " for c in text)
        super().__init__(
            code,
            f"{reason} at character {position + 1}\n"
            f"  {shown}\n  {' ' * position}^",
            text=shown,
            position=position,
        )
        self.text = text
        self.position = position
