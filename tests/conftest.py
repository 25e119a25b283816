"""Passes over the tests that are listed as known to fail, and over no others."""

import pytest

from tests.lib.known_red import known_red


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect listed tests to fail: one that passes must leave the list."""
    listed = known_red()
    mark = pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(mark)
