"""Global traffic steering by labels and selectors."""

__version__ = "0.1.0"
