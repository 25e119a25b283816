"""The demo ends by itself, and well only if the bill equals what ran."""

from pathlib import Path

from clementinebend_bench.launcher.processes import run_to_end
from tests.lib.processes import running_processes

EXAMPLES = Path(__file__).parents[2] / "examples"


async def test_the_demo_shows_all_its_steps_and_balances(tmp_path: Path) -> None:
    with running_processes(tmp_path) as processes:
        line: list[str | Path] = ["clementinebend-bench", "demo"]
        line += ["--examples", EXAMPLES]
        code, output = await run_to_end(processes, line, "demo")
    assert code == 0, output
    assert "5. executed 332 tokens, billed 332: equal" in output
