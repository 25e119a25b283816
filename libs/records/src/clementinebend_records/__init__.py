"""Typed records and messages, schema versions and the codec."""

__version__ = "0.1.0"
