"""Pure functions that select the holders to close and the witnesses to notify.

A holder of an earlier incarnation of this entry is closed immediately. A holder
of another entry is closed once that entry has been unreachable for some time
and has written nothing to the log meanwhile. A live holder that is closed by
mistake continues as a new incarnation, so each close doubles the time limit
for its entry. Entries act one after another, in rendezvous order.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from clementinebend_ledger.replay import LedgerState
from clementinebend_ledger.state import WitnessStatus
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_records.identifiers import Incarnation, process_name_of

STAGGER_S = 2.0
NOTICE_INTERVAL_S = 0.25


class Entries(NamedTuple):
    """View of all entries as seen by this one.

    ``own`` holds the holders of this process, ``live`` the reachable entries.
    ``overdue`` maps each unreachable entry to the seconds since its holders became
    due for closing.
    """

    name: str
    own: frozenset[Incarnation]
    live: tuple[str, ...]
    overdue: Mapping[str, float]


class Notice(NamedTuple):
    """A witness of a closed holder that has not acknowledged the close."""

    holder: Incarnation
    witness: Incarnation
    is_sidecar: bool


def holders_to_close(state: LedgerState, entries: Entries) -> tuple[Incarnation, ...]:
    """Return the holders that this entry must close now."""
    open_holders = (
        holder for holder, entry in state.holders.items() if not entry["closed"]
    )
    return tuple(holder for holder in open_holders if _is_due(holder, entries))


def open_notices(state: LedgerState) -> tuple[Notice, ...]:
    """Return the witnesses of closed holders with no acknowledgement yet."""
    return tuple(
        Notice(holder, witness, is_sidecar)
        for holder, entry in state.holders.items()
        if entry["closed"]
        for is_sidecar, witnesses in (
            (True, entry["sidecars"]),
            (False, entry["peers"]),
        )
        for witness, status in witnesses.items()
        if status == WitnessStatus.OPEN
    )


def gone_peers(
    notices: Iterable[Notice], peers: Mapping[str, Incarnation], state: LedgerState
) -> tuple[Incarnation, ...]:
    """Return peer witnesses with a newer incarnation that are not closed yet."""
    witnesses = {notice.witness for notice in notices if not notice.is_sidecar}
    return tuple(
        witness
        for witness in sorted(witnesses)
        if peers.get(process_name_of(witness), witness) != witness
        and not state.holders.get(witness, {"closed": False})["closed"]
    )


def turn_delay(subject: str, entries: Entries) -> float:
    """Return how long this entry waits for others to handle a subject, in seconds.

    Entries are staggered by ``STAGGER_S`` in rendezvous order.
    """
    names = sorted({entries.name, *entries.live})
    return STAGGER_S * rendezvous(subject, names, len(names)).index(entries.name)


def _is_due(holder: Incarnation, entries: Entries) -> bool:
    name = process_name_of(holder)
    if name == entries.name:
        return holder not in entries.own
    overdue = entries.overdue.get(name)
    return overdue is not None and overdue >= turn_delay(holder, entries)
