"""What a run cost, in tokens.

* A model run costs what its engine told (prompt and completion tokens), but
  never more than the ticket's reservation: the rest would be spent without
  being covered by a grant, so it is not billed but counted as an alarm.
* A run whose usage was not told costs the whole reservation: what cannot be
  proved unspent is charged, as everywhere in the ledger. Counting the events
  seen was ruled out, since an engine may have generated more than it sent,
  and the bill would then be under what the budget really spent. The engine is
  asked to cancel first, and what it then tells is used.
* A plain call costs its reservation, which is the service's fixed cost, also
  when the service failed: it ran.
* A request that a model engine answers with a client error (4xx) generated
  nothing: it is billed once, with the amount 0.
"""

from typing import NamedTuple

from clementinebend_declarations.models import ServiceKind
from clementinebend_records.messages import Receipt, RunStart, Ticket


class Cost(NamedTuple):
    """The amount billed, what ran beyond it, and whether usage was told."""

    amount: int
    overrun: int
    told: bool


def cost_of(kind: ServiceKind, ticket: Ticket, usage: int | None) -> Cost:
    """Return what is billed for a run that the endpoint began."""
    if kind is ServiceKind.PLAIN:
        return Cost(ticket.amount, overrun=0, told=True)
    if usage is None:
        return Cost(ticket.amount, overrun=0, told=False)
    overrun = max(0, usage - ticket.amount)
    return Cost(usage - overrun, overrun, told=True)


def receipt_of(start: RunStart, endpoint: str, amount: int, good: bool) -> Receipt:
    """Return the receipt of a run that was executed here."""
    ticket = start.ticket
    return Receipt(
        key=start.key,
        run=start.run,
        budget=ticket.budget,
        grant=ticket.grant,
        holder=ticket.holder,
        endpoint=endpoint,
        amount=amount,
        succeeded=good,
    )
