"""Guards against error codes with two meanings."""

import pytest

from guavapulley import errors


def test_a_code_has_one_description():
    errors.register_code("TEST_ONLY", "A code of the tests.")
    assert errors.register_code("TEST_ONLY", "A code of the tests.")
    with pytest.raises(ValueError, match="TEST_ONLY"):
        errors.register_code("TEST_ONLY", "Another meaning.")
    errors._base._DESCRIPTIONS.pop("TEST_ONLY")


def test_an_error_shows_its_code_and_keeps_its_details():
    error = errors.GuavapulleyError("SOME_CODE", "a reason", revision=3)
    assert str(error) == "SOME_CODE: a reason"
    assert error.details == {"revision": 3}
