"""Pure store of pointers from request keys to runs, kept for other entries.

The store is bounded and evicts the oldest pointer first. A pointer is only a
hint: if it is lost, an idempotent call may run twice, but is never billed twice.
"""

from collections import OrderedDict
from typing import NamedTuple

from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_records.messages import PointerDelete, PointerPut, PointerReply

POINTER_LIFETIME_S = 900.0


class Pointer(NamedTuple):
    """The run of a key, stored at ``written_at`` (monotonic seconds)."""

    run: RunId
    endpoint: str
    body_digest: str
    written_at: float


class PointerStore(NamedTuple):
    """At most ``bound`` pointers, in the order in which they were written."""

    bound: int
    pointers: OrderedDict[RequestKey, Pointer]


def empty_pointers(bound: int) -> PointerStore:
    """Return a store for at most ``bound`` pointers."""
    return PointerStore(bound, OrderedDict())


def put_pointer(
    store: PointerStore, put: PointerPut, now: float
) -> tuple[PointerStore, PointerReply]:
    """Store a pointer unless the key has one; reply with the stored one."""
    store = expire_pointers(store, now)
    stored = store.pointers.get(put.key)
    if stored is None:
        stored = Pointer(put.run, put.endpoint, put.body_digest, now)
        store.pointers[put.key] = stored
    if len(store.pointers) > store.bound:
        store.pointers.popitem(last=False)
    reply = PointerReply(put.question, stored.run, stored.endpoint, stored.body_digest)
    return store, reply


def drop_pointer(store: PointerStore, drop: PointerDelete) -> PointerStore:
    """Remove the pointer of a key, if it is to the given run."""
    stored = store.pointers.get(drop.key)
    if stored is not None and stored.run == drop.run:
        del store.pointers[drop.key]
    return store


def expire_pointers(store: PointerStore, now: float) -> PointerStore:
    """Remove pointers older than ``POINTER_LIFETIME_S``."""
    oldest = now - POINTER_LIFETIME_S
    while store.pointers:
        key = next(iter(store.pointers))
        if store.pointers[key].written_at >= oldest:
            break
        del store.pointers[key]
    return store
