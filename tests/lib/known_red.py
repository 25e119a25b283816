"""The tests that KNOWN-RED.txt lists: known to fail until their fault is mended."""

from pathlib import Path

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"
FIELD = "test: "
NODE = "::"


def listed_tests(text: str) -> frozenset[str]:
    """Return the ids of the tests that the list's text names."""
    lines = (line.strip() for line in text.splitlines())
    fields = (line.removeprefix(FIELD) for line in lines if line.startswith(FIELD))
    return frozenset(field for field in fields if NODE in field)


def known_red() -> frozenset[str]:
    """Return the ids of the tests in the list, none if there is no list."""
    return listed_tests(KNOWN_RED.read_text()) if KNOWN_RED.exists() else frozenset()
