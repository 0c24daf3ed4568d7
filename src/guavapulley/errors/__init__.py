"""The base exception of the package and the registry of error codes."""

from guavapulley.errors._base import GuavapulleyError
from guavapulley.errors._base import code_descriptions
from guavapulley.errors._base import register_code
from guavapulley.errors._groups import unwrap_exception_group

__all__ = [
    "GuavapulleyError",
    "code_descriptions",
    "register_code",
    "unwrap_exception_group",
]
