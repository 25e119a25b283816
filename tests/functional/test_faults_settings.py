"""Wrong settings of a new user: one clear message, an exit code, no traceback."""

from collections.abc import Iterator
from pathlib import Path
from socket import AF_INET, SOCK_STREAM, socket
from typing import Any

import pytest
from yaml import safe_dump

from tests.lib.processes import (
    LOCALHOST,
    Processes,
    run_to_end,
    running_processes,
)

EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2
LOG_URL = "http://127.0.0.1:9"
GOOD: dict[str, dict[str, Any]] = {
    "clementinebend-entry": {"name": "entry-1", "zone": "zone-a", "log_url": LOG_URL},
    "clementinebend-sidecar": {
        "name": "engine-1",
        "zone": "zone-a",
        "endpoint_url": LOG_URL,
    },
}
PORTS = {
    "clementinebend-entry": ("port", "peer_port"),
    "clementinebend-sidecar": ("port", "http_port"),
}
WRONG = {
    "no YAML": ("name: [", "is not YAML"),
    "a list": ("- name", "(whole file)"),
    "empty": ("", "name is missing"),
    "unknown key": ("{good}colour: red\n", "colour"),
    "twice": ("{good}zone: zone-b\n", "stands twice"),
    "text as port": ("{good}port: http\n", "port"),
    "negative port": ("{good}port: -1\n", "port"),
    "large port": ("{good}port: 70000\n", "port"),
    "unknown level": ("{good}log_level: LOUD\n", "log_level"),
    "no number": ("{good}drain_timeout_s: never\n", "drain_timeout_s"),
}
PROGRAMS = tuple(GOOD)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    with running_processes(tmp_path) as started:
        yield started


async def failing(processes: Processes, program: str, path: Path) -> tuple[int, str]:
    """Run a program that must end by itself; return exit code and stderr."""
    code, _ = await run_to_end(processes, [program, "--settings", path])
    text = processes.started[-1].log_text()
    assert "Traceback" not in text, text
    return code, text


@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize("name", WRONG)
async def test_wrong_settings_are_told_with_file_and_key(
    processes: Processes, program: str, name: str
) -> None:
    template, expected = WRONG[name]
    path = processes.directory / "settings.yaml"
    path.write_text(template.replace("{good}", safe_dump(GOOD[program])))
    code, text = await failing(processes, program, path)
    assert code == EXIT_BAD_SETTINGS, text
    assert str(path) in text and expected in text, text


@pytest.mark.parametrize("program", PROGRAMS)
async def test_settings_that_cannot_be_read_are_told(
    processes: Processes, program: str
) -> None:
    missing = processes.directory / "missing.yaml"
    code, text = await failing(processes, program, missing)
    assert code == EXIT_BAD_SETTINGS and str(missing) in text, text
    latin = processes.directory / "latin.yaml"
    latin.write_bytes("name: Žilina\n".encode("iso8859-2"))
    code, text = await failing(processes, program, latin)
    assert code == EXIT_BAD_SETTINGS and "is not UTF-8" in text, text


@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize("number", range(2))
async def test_a_port_in_use_is_told_with_its_setting(
    processes: Processes, program: str, number: int
) -> None:
    key = PORTS[program][number]
    with socket(AF_INET, SOCK_STREAM) as taken:
        taken.bind((LOCALHOST, 0))
        taken.listen()
        port = taken.getsockname()[1]
        path = processes.directory / "settings.yaml"
        path.write_text(safe_dump({**GOOD[program], key: port}))
        code, text = await failing(processes, program, path)
    assert code == EXIT_FAILURE, text
    assert f"{LOCALHOST}:{port}" in text, text
    assert f"'{key}'" in text, text
