"""One command per module."""
