"""Load reports to all connected entries."""

from collections.abc import Iterable, Iterator

from clementinebend_records.messages import LoadReport
from clementinebend_sidecar.gate.effects import Effect, Send
from clementinebend_sidecar.gate.state import GateState, Load


def report_changes(state: GateState) -> Iterator[Effect]:
    """Report at once what changes whether new work should come here.

    That is leaving, models, all slots taken and a queue; single runs are left
    to the report of each second, which keeps control traffic bounded.
    """
    if _notable(state) != state.figures["told"]:
        yield from report_load(state, sorted(state.connections))


def report_load(state: GateState, connections: Iterable[int]) -> Iterator[Effect]:
    """Send one report, with the next sequence number, to ``connections``."""
    figures = state.figures
    figures["reports"] += 1
    report = LoadReport(
        endpoint=state.identity.name,
        incarnation=state.identity.incarnation,
        sequence=figures["reports"],
        running=len(state.executing),
        queued=len(state.queue),
        slots=state.limits.slots,
        leaving=figures["leaving"],
        step_ms=figures["step_ms"],
        models=figures["models"],
    )
    receivers = tuple(connections)
    if state.connections.issubset(receivers):
        figures["told"] = _notable(state)
    yield from (Send(connection, report) for connection in receivers)


def _notable(state: GateState) -> Load:
    return Load(
        busy=len(state.executing) >= state.limits.slots,
        waiting=bool(state.queue),
        leaving=state.figures["leaving"],
        models=state.figures["models"],
    )
