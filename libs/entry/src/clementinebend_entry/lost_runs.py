"""Runs that were dispatched but did not produce the caller's answer.

A request key is billed once, whatever its runs cost the engines. When an
idempotent request is run again, the reservation of the earlier run is kept until
the key has a bill:

* a later run produces a receipt: the key is billed with it, no other bill of the
  key can be charged, and the earlier reservation is released in full. The
  provider bears the cost of the tokens that the earlier run used;
* no later run produces a receipt, and the earlier run failed with one: the key is
  billed with that receipt;
* no later run produces a receipt, and the earlier sidecar is gone or does not
  know the cost: the whole reservation is held (``held`` bill) until an operator
  resolves it;
* no later run produces a receipt, and the earlier sidecar is unreachable: it is
  asked again once it is reachable. The open message is then repeated with no time
  left, so a run that never started is refused permanently and costs nothing.

If another witness logs a bill of an earlier run first, replay charges that bill
and treats the later one as a repeat, so the key is still charged once.
"""

from asyncio import create_task
from collections.abc import Sequence
from functools import singledispatch
from typing import Any, NamedTuple

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.budget_waits import Reservation
from clementinebend_entry.following import Follower
from clementinebend_entry.ledger_events import (
    CostUnknown,
    ReceiptReceived,
    ReservationCancelled,
)
from clementinebend_entry.metrics import UNRESOLVED_RUNS
from clementinebend_entry.outcomes import Failed, Unknown
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunResult,
    RunUncertain,
    RunWhole,
    SidecarGone,
    SidecarUnreachable,
)
from clementinebend_entry.services import Services
from clementinebend_records.identifiers import RequestKey
from clementinebend_records.messages import Receipt


class LostRun(NamedTuple):
    """A dispatched run that gave the caller no answer, and its result."""

    key: RequestKey
    reservation: Reservation
    follower: Follower
    result: RunResult


def release_lost(services: Services, lost: Sequence[LostRun]) -> None:
    """Free the reservations of earlier runs of a key that has a bill."""
    for run in lost:
        services.ledger.take(ReservationCancelled(run.reservation.run))
        expect_receipt(services, run)


def resolve_lost(services: Services, lost: Sequence[LostRun]) -> None:
    """Settle the runs of a key without a complete answer.

    Runs that failed with a receipt come first.
    """
    for run in sorted(lost, key=lambda each: not isinstance(each.result, RunBroke)):
        _resolve(run.result, run, services)


def expect_receipt(services: Services, run: LostRun) -> None:
    """Have the sidecar delete its receipt once the key is billed."""
    endpoint = run.follower.link.address.endpoint
    executed = run.reservation.run
    if isinstance(run.result, RunBroke | RunWhole):
        executed = run.result.receipt.run
    services.receipts.expect(run.key, executed, endpoint)


def bill(services: Services, run: LostRun, receipt: Receipt) -> None:
    """Bill a run with its receipt.

    If the receipt is of an earlier run of the key, the reservation is released.
    """
    if receipt.run != run.reservation.run:
        services.ledger.take(ReservationCancelled(run.reservation.run))
    services.receipts.expect(receipt.key, receipt.run, receipt.endpoint)
    services.ledger.take(ReceiptReceived(receipt))


def lost_runs_error(lost: Sequence[LostRun]) -> Failed | Unknown:
    """Return the caller's error when no run gave a complete answer."""
    broke = (run.result for run in lost if isinstance(run.result, RunBroke))
    first = next(broke, None)
    if first is None:
        return Unknown("the endpoint's answer was lost")
    return Failed(first.message)


@singledispatch
def _resolve(result: Any, run: LostRun, services: Services) -> None:
    raise TypeError(f"cannot resolve a run with result {result!r}")


@_resolve.register
def _(result: RunNotRun, run: LostRun, services: Services) -> None:
    services.ledger.take(ReservationCancelled(run.reservation.run))


@_resolve.register(RunBroke)
@_resolve.register(RunWhole)
def _(result: RunBroke | RunWhole, run: LostRun, services: Services) -> None:
    bill(services, run, result.receipt)


@_resolve.register(RunUncertain)
@_resolve.register(SidecarGone)
def _(result: RunUncertain | SidecarGone, run: LostRun, services: Services) -> None:
    expect_receipt(services, run)
    services.ledger.take(CostUnknown(run.reservation.run, run.key))


@_resolve.register
def _(result: SidecarUnreachable, run: LostRun, services: Services) -> None:
    services.watch(create_task(_recover(run, services), name=f"recover {run.key}"))


async def _recover(run: LostRun, services: Services) -> None:
    """Ask the sidecar for the result of a run once it is reachable."""
    UNRESOLVED_RUNS.inc()
    try:
        follower = run.follower
        follower.output = AnswerOutput(stream=False)
        result = await follower.follow(reconnect_timeout=None)
    finally:
        UNRESOLVED_RUNS.dec()
    _resolve(result, run, services)
