"""The wire names stay in the platform adapter, and the adapter makes no decisions."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
ADAPTER = ROOT / "platform" / "src" / "clementinebend_platform"
SOURCES = sorted((ROOT / "libs").glob("*/src/**/*.py"))

WIRE_WORDS = (
    "x-not-executed",
    "x-expect-instance",
    "x-token-usage",
    "x-prefix-hash",
    "x-response-signature",
    "clementinebend/log-",
    "clementinebend/report",
    "clementinebend/kv-",
    "clementinebend/readyz",
    "keyed.op",
    "keyed.servers",
    "path_prefix",
    "api_keys",
)

DECISION_LIBRARIES = ("ledger", "admission.queue", "routing.choice", "membership")
"""Packages and modules that make decisions; the adapter must not import them."""


@pytest.mark.parametrize("word", WIRE_WORDS)
def test_wire_names_appear_only_in_adapter(word: str) -> None:
    violations = [
        str(path.relative_to(ROOT))
        for path in SOURCES
        if word in path.read_text(encoding="utf-8").lower()
    ]
    assert not violations


def test_adapter_imports_no_decision_libraries() -> None:
    names = {
        node.module
        for path in ADAPTER.glob("*.py")
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.ImportFrom) and node.module
    }
    violations = {
        name
        for name in names
        for decision in DECISION_LIBRARIES
        if name.startswith(f"clementinebend_{decision}")
    }
    assert not violations


def test_libraries_do_not_import_adapter() -> None:
    violations = [
        str(path.relative_to(ROOT))
        for path in SOURCES
        if "clementinebend_platform." in path.read_text(encoding="utf-8")
    ]
    assert not violations
