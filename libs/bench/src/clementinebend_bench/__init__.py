"""Seeded experiments, the capacity page and the demo."""

__version__ = "0.1.0"
