"""Command line of the bench."""
