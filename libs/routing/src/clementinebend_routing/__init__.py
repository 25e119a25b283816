"""Pure functions that select an endpoint for a request and place models."""

__version__ = "0.1.0"
