"""Causes of rejected calls, read from the output of a run."""

from pathlib import Path

from msgspec.json import encode

from clementinebend_platform.worth_logs import count_rejections, read_lines


def budget_refusal(**fields: object) -> dict[str, object]:
    """Return a budget refusal; by default too little was reserved in time."""
    defaults = {"amount": 100, "left": 500, "uncertain": 0, "age_s": 0.1}
    return {"message": "budget refused", "is_spent": False, **defaults, **fields}


LOG_LINES = (
    budget_refusal(),
    budget_refusal(is_spent=True, left=0),
    budget_refusal(left=20, uncertain=30),
    budget_refusal(left=20, uncertain=300),
    budget_refusal(age_s=2.0),
    budget_refusal(left=None, uncertain=None, age_s=None),
    {"message": "call rejected", "reason": "overloaded"},
    {"message": "call rejected", "reason": "budget_busy"},
    {"message": "endpoint added"},
)


def test_rejections_are_counted_by_cause(tmp_path: Path) -> None:
    log = tmp_path / "day.log"
    rows = [f"  3.1000 edge-a-1 {encode(row).decode()}" for row in LOG_LINES]
    log.write_text("\n".join(["built in 1 s", *rows, "{not a line"]))
    assert count_rejections(read_lines(log).ok) == {
        "budget, not reserved in time": 1,
        "budget, spent by the entry's count": 2,
        "budget, uncertain after a crash": 1,
        "budget, store unavailable": 1,
        "budget, no quotas read yet": 1,
        "overloaded": 1,
    }


def test_unreadable_file_is_an_error(tmp_path: Path) -> None:
    assert "cannot be read" in read_lines(tmp_path / "none").error
