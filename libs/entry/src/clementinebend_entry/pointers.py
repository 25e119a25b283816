"""Pointers from request keys to runs, kept for other entries; pure.

The store is bounded: the oldest pointer goes first. A pointer is a hint; a
lost one costs idempotent work a second run and never a second bill.
"""

from collections import OrderedDict
from typing import NamedTuple

from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_records.messages import PointerDelete, PointerPut, PointerReply

POINTER_LIFETIME_S = 900.0


class Pointer(NamedTuple):
    """Where a key's run is, since ``written_at`` (monotonic seconds)."""

    run: RunId
    endpoint: str
    body_digest: str
    written_at: float


class PointerStore(NamedTuple):
    """Pointers in the order in which they were written."""

    bound: int
    pointers: OrderedDict[RequestKey, Pointer]


def empty_pointers(bound: int) -> PointerStore:
    """Return a store for at most ``bound`` pointers."""
    return PointerStore(bound, OrderedDict())


def put_pointer(
    store: PointerStore, put: PointerPut, now: float
) -> tuple[PointerStore, PointerReply]:
    """Keep a pointer unless one stands; answer with the one that stands."""
    store = expire_pointers(store, now)
    standing = store.pointers.get(put.key)
    if standing is None:
        standing = Pointer(put.run, put.endpoint, put.body_digest, now)
        store.pointers[put.key] = standing
    if len(store.pointers) > store.bound:
        store.pointers.popitem(last=False)
    reply = PointerReply(
        put.question, standing.run, standing.endpoint, standing.body_digest
    )
    return store, reply


def drop_pointer(store: PointerStore, drop: PointerDelete) -> PointerStore:
    """Remove the pointer of a run that did not take place."""
    standing = store.pointers.get(drop.key)
    if standing is not None and standing.run == drop.run:
        del store.pointers[drop.key]
    return store


def expire_pointers(store: PointerStore, now: float) -> PointerStore:
    """Remove pointers past their lifetime."""
    oldest = now - POINTER_LIFETIME_S
    while store.pointers:
        key = next(iter(store.pointers))
        if store.pointers[key].written_at >= oldest:
            break
        del store.pointers[key]
    return store
