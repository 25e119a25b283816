"""Analysis of where a simulated day lost score."""

from pathlib import Path
from typing import Any

from msgspec.json import encode

from clementinebend_platform.worth import describe, losses, read_report, worst_windows

REPORT: dict[str, Any] = {
    "G": 0.7,
    "fault": None,
    "breaks": {},
    "parts": [["whole day", 0.4, 0.9], ["worst class", 0.6, 0.75]],
    "prices": [["calls", 12.0, 0.02], ["probes", 0.0, 0.0]],
    "windows": [
        {"name": "0", "n": 9, "late": 0, "refused": 0, "failed": 0, "worth": 1.0},
        {"name": "2", "n": 9, "late": 1, "refused": 2, "failed": 3, "worth": 0.4},
    ],
}


def write_report(folder: Path, **changes: object) -> Path:
    """Write a report with some values changed, and return its path."""
    path = folder / "report.json"
    path.write_bytes(encode({**REPORT, **changes}))
    return path


def test_losses_are_listed_largest_first(tmp_path: Path) -> None:
    report = read_report(write_report(tmp_path)).ok
    listed = [(loss.cause, round(loss.worth, 3)) for loss in losses(report)]
    assert listed == [("worst class", 0.15), ("whole day", 0.04), ("calls", 0.02)]
    assert [window.name for window in worst_windows(report, 1)] == ["2"]


def test_broken_rules_and_faults_are_described(tmp_path: Path) -> None:
    broken = read_report(write_report(tmp_path, breaks={"BUDGET": 3})).ok
    assert "BUDGET" in describe(broken)
    faulty = read_report(write_report(tmp_path, fault="a program did not start")).ok
    assert "a program did not start" in describe(faulty)


def test_invalid_report_is_an_error(tmp_path: Path) -> None:
    assert "cannot be read" in read_report(tmp_path / "none.json").error
    assert "not a report" in read_report(write_report(tmp_path, parts="none")).error
