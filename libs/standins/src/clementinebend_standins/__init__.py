"""Small stand-ins of the platform for tests and the demo."""

__version__ = "0.1.0"
