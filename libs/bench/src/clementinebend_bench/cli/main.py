"""Entry point of ``clementinebend-bench``."""

from sys import exit as leave

from fire import Fire

from clementinebend_bench.commands.capacity import capacity
from clementinebend_bench.commands.demo import demo
from clementinebend_bench.commands.run import run

COMMANDS = {"run": run, "demo": demo, "capacity": capacity}
"""One module under ``commands`` for each; to add one: a line here."""


def main() -> None:
    """Run the command that the arguments name."""
    status = Fire(COMMANDS, name="clementinebend-bench", serialize=lambda _: None)
    leave(status if isinstance(status, int) else 0)
