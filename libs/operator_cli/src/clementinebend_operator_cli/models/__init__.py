"""Typed values that commands share."""
