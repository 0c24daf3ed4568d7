"""Parser of the selector language, whose grammar is in `_grammar.lark`."""

from collections.abc import Iterable
import functools
from typing import Any

import lark

from guavapulley.selectors import _errors
from guavapulley.selectors import _terms

MAX_SELECTOR_CHARS = 2_048
MAX_TERMS = 32
# Large enough for all distinct selectors of a configuration.
CACHED_SELECTORS = 4_096

_TOKEN_NAMES = {
    "WORD": "a word",
    "IN": "'in'",
    "NOTIN": "'notin'",
    "EQUAL": "'='",
    "BANG": "'!'",
    "__ANON_0": "'!='",
    "LPAR": "'('",
    "RPAR": "')'",
    "COMMA": "','",
    "$END": "the end",
}


class _SelectorBuilder(lark.Transformer[lark.Token, _terms.Selector]):
    """Transforms a parse tree into a selector."""

    def start(self, terms: list[_terms.Term | None]) -> _terms.Selector:
        return _terms.Selector(tuple(t for t in terms if t is not None))

    def equal(self, words: list[lark.Token]) -> _terms.Term:
        return _terms.OneOf(str(words[0]), (str(words[1]),))

    def unequal(self, words: list[lark.Token]) -> _terms.Term:
        return _terms.NoneOf(str(words[0]), (str(words[1]),))

    def one_of(self, words: list[lark.Token]) -> _terms.Term:
        return _terms.OneOf(str(words[0]), tuple(map(str, words[2:])))

    def none_of(self, words: list[lark.Token]) -> _terms.Term:
        return _terms.NoneOf(str(words[0]), tuple(map(str, words[2:])))

    def present(self, words: list[lark.Token]) -> _terms.Term:
        return _terms.Present(str(words[0]))

    def absent(self, words: list[lark.Token]) -> _terms.Term:
        return _terms.Absent(str(words[0]))


@functools.cache
def _grammar() -> lark.Lark:
    return lark.Lark.open_from_package(
        __package__ or "", "_grammar.lark", parser="lalr"
    )


@functools.lru_cache(maxsize=CACHED_SELECTORS)
def parse(text: str) -> _terms.Selector:
    """Parses a selector; results are cached.

    The terms `!=` and `notin` match if the label is absent.

    Args:
        text: Comma-separated terms of the forms `key = value`, `key != value`,
            `key in (a, b)`, `key notin (a, b)`, `key` and `!key`. Words
            consist of letters, digits and `_ . / : -`.

    Returns:
        The selector. An empty text yields a selector that matches everything.

    Raises:
        SelectorError: The text is not a valid selector or exceeds a limit.
    """
    if len(text) > MAX_SELECTOR_CHARS:
        raise _errors.SelectorError(
            _errors.SELECTOR_TOO_LONG,
            f"more than {MAX_SELECTOR_CHARS} characters",
            text[: MAX_SELECTOR_CHARS + 1],
            MAX_SELECTOR_CHARS,
        )
    try:
        tree = _grammar().parse(text)
    except lark.exceptions.UnexpectedCharacters as error:
        raise _syntax_error(
            text, error.pos_in_stream or 0, error.allowed
        ) from error
    except lark.exceptions.UnexpectedToken as error:
        at_end = error.token.type == "$END"
        position = len(text) if at_end else error.token.start_pos
        raise _syntax_error(text, position or 0, error.accepts) from error
    terms = [child for child in tree.children if child is not None]
    if len(terms) > MAX_TERMS:
        raise _errors.SelectorError(
            _errors.SELECTOR_TOO_MANY_TERMS,
            f"more than {MAX_TERMS} terms",
            text,
            _start_position(terms[MAX_TERMS]),
        )
    return _SelectorBuilder().transform(tree)


def _start_position(term: Any) -> int:
    first_token: lark.Token = term.children[0]
    return first_token.start_pos or 0


def _syntax_error(
    text: str, position: int, expected: Iterable[str] | None
) -> _errors.SelectorError:
    expected_tokens = sorted(
        _TOKEN_NAMES.get(name, name) for name in expected or ()
    )
    reason = (
        f"expected {' or '.join(expected_tokens)}"
        if expected_tokens
        else "unexpected text"
    )
    return _errors.SelectorError(
        _errors.SELECTOR_INVALID, reason, text, position
    )
