"""The workspace's rules: import direction, and what the repository may name."""

import ast
import tomllib
from itertools import chain
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PREFIX = "clementinebend_"

ALLOWED: dict[str, set[str]] = {
    "records": set(),
    "ledger": {"records"},
    "declarations": {"records"},
    "membership": {"records"},
    "admission": {"records"},
    "routing": {"records"},
    "transport": {"records"},
    "platform_client": {"records", "transport"},
    "sidecar": {
        "records",
        "declarations",
        "membership",
        "transport",
        "platform_client",
    },
    "entry": {
        "records",
        "ledger",
        "declarations",
        "membership",
        "admission",
        "routing",
        "transport",
        "platform_client",
    },
    "operator_cli": {
        "records",
        "ledger",
        "declarations",
        "transport",
        "platform_client",
    },
    "standins": {"records", "transport"},
    "relay": {
        "records",
        "ledger",
        "membership",
        "admission",
        "routing",
        "transport",
        "platform_client",
    },
}
"""What each library may import; ``bench`` may import any."""

FORBIDDEN_MODULES = {"subprocess", "multiprocessing", "mmap", "os.fork"}
"""A process of the fleet starts no process and uses no shared memory."""

FREE_LIBRARIES = {"bench"}
"""Tools for developers, which may import any library and start processes."""


def sources(library: str) -> list[Path]:
    return sorted((ROOT / "libs" / library / "src").rglob("*.py"))


def imported(path: Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    froms = (
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
    )
    names = (
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.Import)
        for alias in node.names
    )
    return set(chain(froms, names))


def own_libraries(path: Path) -> set[str]:
    roots = (name.split(".")[0] for name in imported(path))
    return {root.removeprefix(PREFIX) for root in roots if root.startswith(PREFIX)}


@pytest.mark.parametrize("library", sorted(ALLOWED))
def test_imports_point_one_way(library: str) -> None:
    assert sources(library), f"libs/{library} has no sources"
    wrong = {
        (str(path.relative_to(ROOT)), name)
        for path in sources(library)
        for name in own_libraries(path) - ALLOWED[library] - {library}
    }
    assert not wrong


@pytest.mark.parametrize("library", sorted(ALLOWED))
def test_declared_dependencies_match_what_may_be_imported(library: str) -> None:
    project = tomllib.loads((ROOT / "libs" / library / "pyproject.toml").read_text())
    declared = {
        dependency.partition("==")[0].removeprefix("clementinebend-").replace("-", "_")
        for dependency in project["project"]["dependencies"]
        if dependency.startswith("clementinebend-")
    }
    assert declared <= ALLOWED[library]
    used = set(chain.from_iterable(map(own_libraries, sources(library)))) - {library}
    assert used <= declared


def test_every_library_has_a_rule() -> None:
    libraries = {path.name for path in (ROOT / "libs").iterdir() if path.is_dir()}
    assert libraries == set(ALLOWED) | FREE_LIBRARIES


@pytest.mark.parametrize("library", sorted(ALLOWED))
def test_no_process_starts_another(library: str) -> None:
    wrong = {
        (str(path.relative_to(ROOT)), name)
        for path in sources(library)
        for name in imported(path) & FORBIDDEN_MODULES
    }
    assert not wrong


PURE = ("ledger", "declarations", "membership", "admission", "routing")
IMPURE_MODULES = {"asyncio", "socket", "time", "datetime", "random", "secrets"}


@pytest.mark.parametrize("library", PURE)
def test_pure_libraries_hold_no_clock_or_socket(library: str) -> None:
    wrong = {
        (str(path.relative_to(ROOT)), name)
        for path in sources(library)
        for name in imported(path) & IMPURE_MODULES
    }
    assert not wrong
