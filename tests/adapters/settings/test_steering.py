"""Guards against steering files that are misread or rendered wrongly."""

import hypothesis
from hypothesis import strategies
import pytest

from guavapulley import model
from guavapulley.adapters import settings

VALID = """\
[service line-status]
class = short
deadline_ms = 2000

[intent canary]
requests = service = line-status
upstreams = canary = yes,
    region in (pb, za)
share = 12.5 %
priority = 10

[label rack-7]
upstreams = rack = 7
labels = canary = yes, old =

[drain rack-8]
upstreams = rack = 8

[region pb]
headroom = 20

[link za pb]
cap_mbit_per_s = 280

[block 10.1.0.0/16]
region = pb
"""

OBJECTS = {
    model.Service("line-status", model.TrafficClass.SHORT, 2000),
    model.Intent(
        "canary",
        "service = line-status",
        "canary = yes, region in (pb, za)",
        12.5,
        10,
    ),
    model.Drain("rack-8", "rack = 8"),
    model.RegionLimit("pb", headroom_percent=20.0),
    model.LinkCap("pb za", 280.0),
    model.ClientBlock("10.1.0.0/16", "pb"),
}


def test_every_kind_of_object_is_read():
    parsed = settings.parse_steering(VALID)
    labels = [obj for obj in parsed if isinstance(obj, model.LabelOverride)]
    assert labels == [
        model.LabelOverride("rack-7", "rack = 7", {"canary": "yes", "old": ""})
    ]
    assert {obj for obj in parsed if obj not in labels} == OBJECTS


INVALID = [
    ("class = short", "class = fast", "SETTINGS_VALUE_INVALID", "class"),
    ("class = short", "", "SETTINGS_KEY_MISSING", "class"),
    ("deadline_ms = 2000", "deadline_ms = 0", "SETTINGS_VALUE_INVALID",
     "deadline_ms"),
    ("deadline_ms = 2000", "deadline = 1", "SETTINGS_KEY_UNKNOWN", "deadline"),
    ("12.5 %", "101", "SETTINGS_VALUE_INVALID", "share"),
    ("12.5 %", "nan", "SETTINGS_VALUE_INVALID", "share"),
    ("canary = yes, old =", "canary", "SETTINGS_VALUE_INVALID", "labels"),
    ("upstreams = rack = 8", "upstreams =", "SETTINGS_VALUE_INVALID",
     "upstreams"),
    ("upstreams = rack = 8", "upstreams = rack = (", "SETTINGS_VALUE_INVALID",
     "upstreams"),
    ("[drain rack-8]", "[drian rack-8]", "SETTINGS_SECTION_UNKNOWN", ""),
    ("[drain rack-8]", "[drain]", "SETTINGS_VALUE_INVALID", ""),
    ("[link za pb]", "[link za za]", "SETTINGS_VALUE_INVALID", ""),
    ("[link za pb]", "[link za]", "SETTINGS_VALUE_INVALID", ""),
    ("280", "1e999", "SETTINGS_VALUE_INVALID", "cap_mbit_per_s"),
    ("10.1.0.0/16", "10.1.0.1/16", "SETTINGS_VALUE_INVALID", ""),
]  # fmt: skip


@pytest.mark.parametrize("old, new, code, key", INVALID)
def test_error_has_location_and_code(old, new, code, key):
    assert old in VALID
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse_steering(VALID.replace(old, new, 1), "st.ini")
    error = caught.value
    assert (error.code, error.key, error.file) == (code, key, "st.ini")
    assert error.section
    assert error.allowed


def test_object_defined_twice_under_two_spellings_is_refused():
    text = VALID + "[link pb za]\ncap_mbit_per_s = 1\n"
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse_steering(text)
    assert caught.value.code == settings.SETTINGS_DUPLICATE


@pytest.mark.parametrize(
    "obj",
    [
        model.Drain("a\n[drain b]", "rack = 7"),
        model.Drain("a", "rack = 7\n[drain b]\nupstreams = rack = 8"),
        model.Drain("a", " rack = 7"),
        model.LinkCap("za pb", 1.0),
        model.Intent("a", "", "", share_percent=float("nan")),
        model.LabelOverride("a", "rack = 7", {"k": "a, b = c"}),
    ],
)
def test_object_that_a_file_cannot_express_is_refused(obj):
    with pytest.raises(settings.SettingsError):
        settings.check_object(obj)


NAMES = strategies.from_regex(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,12}", fullmatch=True
)
SELECTORS = strategies.sampled_from(["rack = 7", "a in (b, c), !d", "x != y"])
PERCENT = strategies.floats(0, 100).map(abs)
COUNTS = strategies.integers(1, 2**53)
OBJECT_STRATEGY = strategies.one_of(
    strategies.builds(
        model.Service,
        NAMES,
        strategies.sampled_from(model.TrafficClass),
        COUNTS,
        COUNTS,
        COUNTS,
        COUNTS,
    ),
    strategies.builds(
        model.Intent,
        NAMES,
        SELECTORS,
        SELECTORS,
        PERCENT,
        strategies.integers(-100, 100),
    ),
    strategies.builds(
        model.LabelOverride,
        NAMES,
        SELECTORS,
        strategies.dictionaries(
            NAMES, NAMES | strategies.just(""), min_size=1, max_size=4
        ),
    ),
    strategies.builds(model.RegionLimit, NAMES, COUNTS, PERCENT),
    strategies.builds(
        model.LinkCap,
        strategies.just("pb za"),
        strategies.floats(1e-3, 1e6),
        COUNTS,
    ),
)


@hypothesis.given(
    strategies.lists(OBJECT_STRATEGY, max_size=6, unique_by=model.object_key)
)
def test_rendered_objects_are_read_back_equal(objects):
    objects = sorted(objects, key=model.object_key)
    text = settings.render_steering(objects)
    assert list(settings.parse_steering(text)) == objects


LINES = strategies.lists(
    strategies.one_of(
        strategies.text(max_size=40),
        strategies.sampled_from(VALID.splitlines()),
    ),
    max_size=24,
).map("\n".join)


@hypothesis.given(LINES)
def test_arbitrary_text_raises_only_settings_errors(text):
    try:
        settings.parse_steering(text)
    except settings.SettingsError as error:
        assert error.code.startswith("SETTINGS_")
