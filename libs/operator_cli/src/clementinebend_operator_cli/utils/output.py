"""Texts for people and for scripts."""

from collections.abc import Iterable, Sequence
from itertools import zip_longest
from json import dumps
from typing import Any

from clementinebend_operator_cli.exceptions import CommandError
from clementinebend_operator_cli.models.report import Report
from clementinebend_records.records import Change

COLUMN_GAP = "  "


def render(report: Report, as_json: bool) -> str:
    """Return a report as lines, or as one JSON document."""
    if as_json:
        return dumps(report.data, indent=2, sort_keys=True, default=str)
    return "\n".join(report.lines)


def render_error(error: CommandError) -> str:
    """Return an error as one JSON document."""
    fields = {"code": int(error.code), "message": error.message}
    return dumps({"error": fields}, indent=2)


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> tuple[str, ...]:
    """Return aligned lines; numbers stand at the right of their column."""
    cells = [list(map(_shown, row)) for row in rows]
    columns = list(zip_longest(head, *cells, fillvalue=""))
    widths = [max(map(len, column)) for column in columns]
    lines = [_line(row, widths) for row in [list(head), *cells]]
    return tuple(lines)


def change_line(change: Change) -> str:
    """Return one edit of the declarations as a line."""
    path = ".".join(change.path)
    if change.remove:
        return f"- {path}"
    return f"= {path}: {dumps(change.value, ensure_ascii=False)}"


def change_data(change: Change) -> dict[str, Any]:
    """Return one edit of the declarations for scripts."""
    return {"path": list(change.path), "value": change.value, "remove": change.remove}


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.rjust(width) if _is_number(cell) else cell.ljust(width)
        for cell, width in zip(row, widths, strict=True)
    )
    return COLUMN_GAP.join(padded).rstrip()


def _shown(value: Any) -> str:
    if isinstance(value, int) and not isinstance(value, bool):
        return f"{value:_}"
    return str(value)


def _is_number(cell: str) -> bool:
    return cell.lstrip("-").replace("_", "").isdigit()
