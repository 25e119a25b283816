"""How tests read the logs of programs that are still running."""

from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from tests.lib.platform_fleet import Entry


def test_a_line_that_is_being_written_is_left_out(tmp_path: Path) -> None:
    """Guards against a soak that ends as it reads half of a line."""
    output = tmp_path / "edge-0.log"
    output.write_text('{"message": "started"}\n{"message": "conf')
    entry = cast(Any, SimpleNamespace(output=output))
    assert Entry.lines(entry) == [{"message": "started"}]
