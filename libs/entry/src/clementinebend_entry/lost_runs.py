"""Runs that were dispatched and did not give the caller's answer.

A request key is billed once, whatever its runs cost the engines. So when an
idempotent request is run again, the reservation of the earlier run stays
until the key has a bill:

* a later run gives a receipt: the key is billed with it, no other bill of the
  key can be charged any more, and the earlier reservation comes back whole.
  The tokens that the earlier run used up are the provider's loss;
* no later run gives one, and the earlier run failed with a receipt: that is
  the bill;
* no later run gives one, and the earlier sidecar is gone or cannot say: its
  cost will never be known, so the whole reservation is held (``held`` bill)
  until an operator resolves it;
* no later run gives one, and the earlier sidecar cannot be reached: it is
  asked again when it can be. The run's opening is then repeated with no time
  left, so a run that never started is refused for ever and costs nothing.

Should some other witness log a bill of an earlier run first, replay charges
that one and the later bill is a repeat: still one charge.
"""

from asyncio import create_task
from collections.abc import Sequence
from functools import singledispatch
from typing import Any, NamedTuple

from clementinebend_entry.answer_output import AnswerOutput
from clementinebend_entry.budget_waits import Reservation
from clementinebend_entry.following import Follower
from clementinebend_entry.ledger_events import Finished, Unproved, Withdrawn
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
    """A dispatched run without an answer for the caller, and why."""

    key: RequestKey
    reservation: Reservation
    follower: Follower
    result: RunResult


def release_lost(services: Services, lost: Sequence[LostRun]) -> None:
    """Free the reservations of earlier runs: the key has a bill."""
    for run in lost:
        services.ledger.take(Withdrawn(run.reservation.run))
        expect_receipt(services, run)


def resolve_lost(services: Services, lost: Sequence[LostRun]) -> None:
    """Settle runs of a key for which no run gave a whole answer."""
    for run in sorted(lost, key=lambda each: not isinstance(each.result, RunBroke)):
        _resolve(run.result, run, services)


def expect_receipt(services: Services, run: LostRun) -> None:
    """Have the sidecar forget its receipt once the key is billed."""
    endpoint = run.follower.link.address.endpoint
    executed = run.reservation.run
    if isinstance(run.result, RunBroke | RunWhole):
        executed = run.result.receipt.run
    services.receipts.expect(run.key, executed, endpoint)


def bill(services: Services, run: LostRun, receipt: Receipt) -> None:
    """Bill a run by its receipt; one that was executed before frees the ticket."""
    if receipt.run != run.reservation.run:
        services.ledger.take(Withdrawn(run.reservation.run))
    services.receipts.expect(receipt.key, receipt.run, receipt.endpoint)
    services.ledger.take(Finished(receipt))


def trouble_of(lost: Sequence[LostRun]) -> Failed | Unknown:
    """Return what the caller is told when none of the runs was whole."""
    broke = (run.result for run in lost if isinstance(run.result, RunBroke))
    first = next(broke, None)
    if first is None:
        return Unknown("the endpoint's answer was lost")
    return Failed(first.message)


@singledispatch
def _resolve(result: Any, run: LostRun, services: Services) -> None:
    raise TypeError(f"no way to resolve {result!r}")


@_resolve.register
def _(result: RunNotRun, run: LostRun, services: Services) -> None:
    services.ledger.take(Withdrawn(run.reservation.run))


@_resolve.register(RunBroke)
@_resolve.register(RunWhole)
def _(result: RunBroke | RunWhole, run: LostRun, services: Services) -> None:
    bill(services, run, result.receipt)


@_resolve.register(RunUncertain)
@_resolve.register(SidecarGone)
def _(result: RunUncertain | SidecarGone, run: LostRun, services: Services) -> None:
    expect_receipt(services, run)
    services.ledger.take(Unproved(run.reservation.run, run.key))


@_resolve.register
def _(result: SidecarUnreachable, run: LostRun, services: Services) -> None:
    services.watch(create_task(_recover(run, services), name=f"recover {run.key}"))


async def _recover(run: LostRun, services: Services) -> None:
    """Ask the sidecar what became of a run, once it can be reached."""
    UNRESOLVED_RUNS.inc()
    try:
        follower = run.follower
        follower.output = AnswerOutput(stream=False)
        result = await follower.follow(reconnect_timeout=None)
    finally:
        UNRESOLVED_RUNS.dec()
    _resolve(result, run, services)
