"""Starts the real programs on loopback, for tools and functional tests."""
