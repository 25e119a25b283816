"""Declarations, their schema versions and replay of the configuration stream."""

__version__ = "0.1.0"
