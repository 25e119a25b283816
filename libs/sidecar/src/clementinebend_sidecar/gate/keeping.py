"""How long answers and receipts are kept.

Answers are bounded in bytes and time, oldest ended run first. Receipts are
never evicted: one goes only when an entry says that it is on the log.
"""

from collections.abc import Iterator

from clementinebend_records.identifiers import RunId
from clementinebend_sidecar.gate.effects import Count, Counter, Effect
from clementinebend_sidecar.gate.state import GateState, forget, remember


def evict_answers(state: GateState, now: float) -> Iterator[Effect]:
    """Drop ended answers that are too old or too much, oldest first."""
    while state.ended:
        oldest = next(iter(state.ended))
        if not _is_surplus(state, oldest, now):
            return
        _evict(state, oldest)
        yield Count(Counter.EVICTIONS)


def drop_receipt(state: GateState, run_id: RunId) -> None:
    """Stop keeping a receipt that is on the log."""
    receipt = state.receipts.pop(run_id, None)
    if receipt is None:
        return
    run = state.runs.get(run_id)
    if run is not None and run.chunks is None:
        forget(state, run_id)


def _is_surplus(state: GateState, run_id: RunId, now: float) -> bool:
    if state.figures["bytes_kept"] > state.limits.answer_retention_bytes:
        return True
    return now - state.runs[run_id].ended >= state.limits.answer_retention_s


def _evict(state: GateState, run_id: RunId) -> None:
    run = state.runs[run_id]
    state.figures["bytes_kept"] -= sum(map(len, run.chunks or ()))
    del state.ended[run_id]
    state.runs[run_id] = run._replace(chunks=None)
    remember(state, run_id, None)
    if run_id not in state.receipts:
        forget(state, run_id)
