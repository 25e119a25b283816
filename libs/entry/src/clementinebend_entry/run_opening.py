"""Builds the messages that ask a sidecar to execute a call."""

from clementinebend_entry.budget_waits import Reservation
from clementinebend_entry.calls import Call
from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import Hello, RunStart, Ticket


def build_run_start(call: Call, run: RunId, ticket: Ticket) -> RunStart:
    """Return the message that starts a run; its deadline is set when it is sent."""
    return RunStart(
        run=run,
        key=call.key,
        body_digest=call.body_digest,
        ticket=ticket,
        method=call.method,
        path=call.path,
        content_type=call.content_type,
        body=call.body,
        stream=call.stream,
        idempotent=call.idempotent,
        priority=call.priority,
        deadline_ms=0,
        token_limit=call.token_limit,
    )


def build_ticket(reservation: Reservation, sidecar: Hello) -> Ticket:
    """Return the ticket that lets a sidecar execute a reserved run."""
    return Ticket(
        reservation.budget,
        reservation.grant,
        reservation.holder,
        sidecar.incarnation,
        reservation.amount,
    )
