"""Keeps requests from endpoints that end under them: evidence, verdicts, and news."""
