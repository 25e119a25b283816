"""Confinement of a request to one endpoint. Pure functions.

All entries send a request under which endpoints have ended to the same endpoint, so
that a fatal request ends few of them.
"""

from collections.abc import Collection
from typing import NamedTuple

from clementinebend_membership.rendezvous import rendezvous


class Confinement(NamedTuple):
    """Restriction of a request's runs to one endpoint.

    ``since`` is the time of the last end under the request.
    """

    since: float


def assigned_endpoint(fingerprint: str, names: Collection[str]) -> str | None:
    """Return the endpoint of a confined request, None if there are no ``names``."""
    return next(iter(rendezvous(fingerprint, names, 1)), None)
