"""Settings files that are wrong name the file, the key and what is allowed."""

from pathlib import Path
from typing import NamedTuple

import pytest

from clementinebend_transport.settings import load_settings


class Listen(NamedTuple):
    """A nested part."""

    host: str
    port: int = 80


class Settings(NamedTuple):
    """The settings of a test."""

    listen: Listen
    peers: dict[str, Listen] = {}
    delay: float = 1.0


@pytest.mark.parametrize(
    ("content", "parts"),
    [
        (b"", ["listen is missing", "the keys host, port"]),
        (b"listen: {host: 1}", ["listen.host is 1", "a string"]),
        (
            b"listen: {hots: a}\ndelay: soon",
            [
                "listen.hots is an unknown key",
                "listen.host is missing",
                "delay is 'soon'",
            ],
        ),
        (b"- a", ["(whole file) is a list", "the keys listen, peers, delay"]),
        (b"listen: [", ["is not YAML", "line 1"]),
        (b"listen: {host: a}\ndelay: 1\ndelay: 2", ["'delay' stands twice", "line 1"]),
        (b"\xff\xfe\xfa", ["is not UTF-8"]),
        (b"listen: !!python/name:os.system {}", ["is not YAML"]),
        (b"listen: &a\n  host: *a", ["listen.host is a mapping"]),
        (b"? [a]\n: 1", ["is not YAML"]),
    ],
)
def test_wrong_files(tmp_path: Path, content: bytes, parts: list[str]) -> None:
    path = tmp_path / "settings.yaml"
    path.write_bytes(content)
    message = str(load_settings(path, Settings).error)
    assert all(line.startswith(f"{path}: ") for line in message.splitlines())
    assert [part for part in parts if part not in message] == []


def test_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    for path in (tmp_path / "missing.yaml", tmp_path):
        assert f"{path}: " in str(load_settings(str(path), Settings).error)


def test_good_settings_with_merged_keys(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(
        "listen: &base {host: a, port: 1}\npeers:\n  b: {<<: *base, port: 2}\n"
    )
    expected = Settings(Listen("a", 1), {"b": Listen("a", 2)})
    assert load_settings(path, Settings).ok == expected


class Place(NamedTuple):
    """A nested part with a port."""

    host: str = "127.0.0.1"
    port: int = 0


class Measured(NamedTuple):
    """Settings whose names say what they measure."""

    http_port: int = 0
    wait_s: float = 1.0
    wait_ms: int = 1
    max_bytes: int = 1
    places: tuple[Place, ...] = ()


def test_ports_durations_and_sizes_that_cannot_be_are_told(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(
        "http_port: 65536\nwait_s: .nan\nwait_ms: -1\nmax_bytes: -5\n"
        "places: [{port: 0}, {port: -1}]\n"
    )
    told = str(load_settings(path, Measured).error).splitlines()
    assert [line.removeprefix(f"{path}: ") for line in told] == [
        "http_port is 65536; allowed: 0 to 65535",
        "wait_s is nan; allowed: 0 or more",
        "wait_ms is -1; allowed: 0 or more",
        "max_bytes is -5; allowed: 0 or more",
        "places.1.port is -1; allowed: 0 to 65535",
    ]
    path.write_text("http_port: 65535\nwait_s: 0\nplaces: [{port: 1}]\n")
    assert load_settings(path, Measured).is_ok()
