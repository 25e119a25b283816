"""Helpers of the commands."""
