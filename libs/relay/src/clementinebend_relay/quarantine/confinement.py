"""Confinement of a request to one endpoint. Pure functions.

All entries send a request under which endpoints have ended to the same endpoint, so
that a fatal request ends few of them. Two such requests are sent to different
endpoints: an end of one of these shows which of the two is the cause.
"""

from collections.abc import Collection
from typing import NamedTuple

from clementinebend_membership.rendezvous import rendezvous


class Confinement(NamedTuple):
    """Restriction of a request's runs to one endpoint.

    ``since`` is the time of the last end under the request. Unless it ``is_strict``,
    calls may be sent elsewhere while that endpoint takes few calls. ``rivals`` are the
    fingerprints of other suspects that choose their endpoints before it.
    """

    since: float
    is_strict: bool = True
    rivals: tuple[str, ...] = ()


def assigned_endpoint(
    fingerprint: str, confinement: Confinement, names: Collection[str]
) -> str | None:
    """Return the endpoint of a confined request, None if there are no ``names``.

    If there are more suspects than endpoints, the last ones share.
    """
    taken: set[str] = set()
    for rival in confinement.rivals:
        chosen = _first_free(rival, names, taken)
        if chosen is not None:
            taken.add(chosen)
    return _first_free(fingerprint, names, taken)


def _first_free(
    fingerprint: str, names: Collection[str], taken: Collection[str]
) -> str | None:
    """Return a request's preferred endpoint of those not taken, or of all."""
    free = [name for name in names if name not in taken] or names
    return next(iter(rendezvous(fingerprint, free, 1)), None)
