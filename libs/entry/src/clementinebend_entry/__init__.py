"""The process that callers reach."""

__version__ = "0.1.0"
