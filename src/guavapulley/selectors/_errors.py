"""Errors of the selector parser."""

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
    """The text of a selector is invalid or exceeds a limit.

    The message shows the text with a caret below the offending character.

    Attributes:
        text: Text of the selector.
        position: Index of the offending character, or the length of the text
            if it ends too early.
    """

    def __init__(
        self, code: str, reason: str, text: str, position: int
    ) -> None:
        # Line breaks and control characters would misplace the caret.
        printable_text = "".join(c if c.isprintable() else " " for c in text)
        super().__init__(
            code,
            f"{reason} at character {position + 1}\n"
            f"  {printable_text}\n  {' ' * position}^",
            text=printable_text,
            position=position,
        )
        self.text = text
        self.position = position
