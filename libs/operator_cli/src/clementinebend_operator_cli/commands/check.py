"""``clementinebend check``: tells whether declarations in files are right."""

from clementinebend_declarations.models import Declarations
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.declared import DEFAULT_PATH, read_declared


async def check(path: str = DEFAULT_PATH) -> Outcome:
    """Check declarations in a YAML file or directory; needs no log.

    Args:
        path: The YAML file, or a directory whose *.yaml files are merged.

    """
    return read_declared(path).map(lambda declared: _report(declared.declarations))


def _report(declarations: Declarations) -> Report:
    counts = {
        "teams": len(declarations.teams),
        "budgets": len(declarations.budgets),
        "services": len(declarations.services),
        "endpoints": len(declarations.endpoints),
        "routing_rules": len(declarations.routing_rules),
    }
    listed = ", ".join(f"{count} {name}" for name, count in counts.items())
    return Report((f"ok: {listed}",), counts)
