"""Pure choice of an endpoint."""

__version__ = "0.1.0"
