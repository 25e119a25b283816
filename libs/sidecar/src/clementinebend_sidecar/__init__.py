"""The process beside each endpoint."""

__version__ = "0.1.0"
