"""Selector language for labels of upstreams and requests.

>>> from guavapulley import selectors
>>> selector = selectors.parse("region in (za, pb), !canary, rack != 7")
>>> selector.matches({"region": "pb", "rack": "3"})
True
>>> selector.matches({"region": "pb", "rack": "7"})
False
>>> str(selector)
'!canary,rack!=7,region in (pb,za)'
"""

from guavapulley.selectors._errors import SELECTOR_INVALID
from guavapulley.selectors._errors import SELECTOR_TOO_LONG
from guavapulley.selectors._errors import SELECTOR_TOO_MANY_TERMS
from guavapulley.selectors._errors import SelectorError
from guavapulley.selectors._parser import MAX_SELECTOR_CHARS
from guavapulley.selectors._parser import MAX_TERMS
from guavapulley.selectors._parser import parse
from guavapulley.selectors._terms import Absent
from guavapulley.selectors._terms import NoneOf
from guavapulley.selectors._terms import OneOf
from guavapulley.selectors._terms import Present
from guavapulley.selectors._terms import Selector
from guavapulley.selectors._terms import Term

__all__ = [
    "MAX_SELECTOR_CHARS",
    "MAX_TERMS",
    "SELECTOR_INVALID",
    "SELECTOR_TOO_LONG",
    "SELECTOR_TOO_MANY_TERMS",
    "Absent",
    "NoneOf",
    "OneOf",
    "Present",
    "Selector",
    "SelectorError",
    "Term",
    "parse",
]
