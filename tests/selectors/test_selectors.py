"""Guards against selectors that match labels other than the stated ones."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from guavapulley import selectors

LABELS = {"region": "pb", "rack": "7", "in": "notin"}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", True),
        ("  \n", True),
        ("region = pb", True),
        ("region=za", False),
        ("rack != 8", True),
        ("rack != 7", False),
        ("absent != 7", True),
        ("absent = 7", False),
        ("region in (za, pb)", True),
        ("region in(za)", False),
        ("region notin (za, tn)", True),
        ("absent notin (za)", True),
        ("region notin (pb)", False),
        ("region", True),
        ("absent", False),
        ("!absent, rack", True),
        ("!rack", False),
        ("region = pb, rack = 8", False),
        ("in = notin", True),
        ("in in (in, notin)", True),
    ],
)
def test_selectors_match_the_stated_labels(text, expected):
    assert selectors.parse(text).matches(LABELS) is expected


@pytest.mark.parametrize(
    ("text", "position"),
    [
        ("region = ", 9),
        ("region = za, = b", 13),
        ("region in ()", 11),
        ("region inside (a)", 7),
        ("a = b,", 6),
        ("a\n= ;", 4),
        ("a == b", 3),
        ("!", 1),
    ],
)
def test_a_syntax_error_points_at_the_offending_character(text, position):
    with pytest.raises(selectors.SelectorError) as raised:
        selectors.parse(text)
    assert raised.value.code == selectors.SELECTOR_INVALID
    assert raised.value.position == position
    shown_text, caret = raised.value.message.splitlines()[-2:]
    assert len(shown_text) == len(text) + 2
    assert caret.index("^") == position + 2


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("a" * (selectors.MAX_SELECTOR_CHARS + 1), "SELECTOR_TOO_LONG"),
        (",".join(["a"] * 33), "SELECTOR_TOO_MANY_TERMS"),
    ],
)
def test_a_selector_above_a_limit_is_refused(text, code):
    with pytest.raises(selectors.SelectorError) as raised:
        selectors.parse(text)
    assert raised.value.code == code


@given(st.text(max_size=60) | st.text("ab=!(),in not\n", max_size=60))
def test_parse_raises_only_selector_errors(text):
    try:
        selectors.parse(text)
    except selectors.SelectorError as error:
        assert 0 <= error.position <= len(text)


WORDS = st.sampled_from(["a", "b", "in", "notin", "x/y", "10.0.0.1:80", "ň"])
VALUES = st.lists(WORDS, min_size=1, max_size=4).map(tuple)
TERMS = st.one_of(
    st.builds(selectors.OneOf, WORDS, VALUES),
    st.builds(selectors.NoneOf, WORDS, VALUES),
    st.builds(selectors.Present, WORDS),
    st.builds(selectors.Absent, WORDS),
)


@given(st.lists(TERMS, max_size=6).map(tuple))
def test_the_canonical_text_parses_to_the_same_selector(terms):
    selector = selectors.Selector(terms)
    assert selectors.parse(str(selector)) == selector
