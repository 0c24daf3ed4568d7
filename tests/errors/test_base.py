"""Guards against ambiguous error codes and errors without a code."""

import pytest

from guavapulley import errors


def test_code_cannot_be_registered_with_two_descriptions():
    errors.register_code("TEST_ONLY", "A code of the tests.")
    assert errors.register_code("TEST_ONLY", "A code of the tests.")
    with pytest.raises(ValueError, match="TEST_ONLY"):
        errors.register_code("TEST_ONLY", "Another meaning.")
    errors._base._DESCRIPTIONS.pop("TEST_ONLY")


def test_error_has_code_in_its_text_and_keeps_details():
    error = errors.GuavapulleyError("SOME_CODE", "a reason", revision=3)
    assert str(error) == "SOME_CODE: a reason"
    assert error.details == {"revision": 3}
