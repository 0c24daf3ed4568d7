"""Process settings and steering files in INI."""

from guavapulley.adapters.settings._errors import SETTINGS_DUPLICATE
from guavapulley.adapters.settings._errors import SETTINGS_FILE_EXPOSED
from guavapulley.adapters.settings._errors import SETTINGS_KEY_MISSING
from guavapulley.adapters.settings._errors import SETTINGS_KEY_UNKNOWN
from guavapulley.adapters.settings._errors import SETTINGS_SECTION_MISSING
from guavapulley.adapters.settings._errors import SETTINGS_SECTION_UNKNOWN
from guavapulley.adapters.settings._errors import SETTINGS_SYNTAX
from guavapulley.adapters.settings._errors import SETTINGS_UNREADABLE
from guavapulley.adapters.settings._errors import SETTINGS_VALUE_INVALID
from guavapulley.adapters.settings._errors import SettingsError
from guavapulley.adapters.settings._process import ProcessSettings
from guavapulley.adapters.settings._process import Role
from guavapulley.adapters.settings._process import load_process_settings
from guavapulley.adapters.settings._process import parse_process_settings
from guavapulley.adapters.settings._process import read_token
from guavapulley.adapters.settings._steering import KINDS
from guavapulley.adapters.settings._steering import check_object
from guavapulley.adapters.settings._steering import load_steering
from guavapulley.adapters.settings._steering import parse_object_key
from guavapulley.adapters.settings._steering import parse_steering
from guavapulley.adapters.settings._steering import render_object
from guavapulley.adapters.settings._steering import render_steering
from guavapulley.adapters.settings._values import parse_address
from guavapulley.adapters.settings._values import parse_addresses
from guavapulley.adapters.settings._values import parse_labels

__all__ = [
    "KINDS",
    "SETTINGS_DUPLICATE",
    "SETTINGS_FILE_EXPOSED",
    "SETTINGS_KEY_MISSING",
    "SETTINGS_KEY_UNKNOWN",
    "SETTINGS_SECTION_MISSING",
    "SETTINGS_SECTION_UNKNOWN",
    "SETTINGS_SYNTAX",
    "SETTINGS_UNREADABLE",
    "SETTINGS_VALUE_INVALID",
    "ProcessSettings",
    "Role",
    "SettingsError",
    "check_object",
    "load_process_settings",
    "load_steering",
    "parse_address",
    "parse_addresses",
    "parse_labels",
    "parse_object_key",
    "parse_process_settings",
    "parse_steering",
    "read_token",
    "render_object",
    "render_steering",
]
