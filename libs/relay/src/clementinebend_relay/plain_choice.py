"""Selects endpoints for calls without a prompt, by their pace and load."""

from collections.abc import Iterable, Sequence
from random import random
from typing import NamedTuple

from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_routing.service_time import (
    CLEAR_RATIO,
    PlainCandidate,
    choose_endpoint,
    expected_seconds,
    shortlist,
    speed_weight,
    usual_seconds,
    weighted_order,
)

OWN_ZONE_PROBED = 2
"""Number of endpoints of the entry's own zone that are queried first."""

ZONE_BIAS = 1.0
"""Number of calls in flight by which an endpoint in another zone must be better."""


class PlainOffer(NamedTuple):
    """An endpoint that may take a plain call, and the number of calls running there."""

    state: EndpointState
    running: int


class PlainChoice(NamedTuple):
    """What the choice of an endpoint for a plain call was based on.

    ``expected`` is how long the call was expected to take there and ``usual`` the
    pool's usual time, both in seconds or None if no time was known. ``age`` is the age
    of the endpoint's own time in seconds, None if only the usual one was known.
    """

    expected: float | None
    usual: float | None
    running: int
    age: float | None

    @property
    def pace(self) -> str:
        """The metric label of the expected time: unknown, usual, or slow.

        Slow is above ``CLEAR_RATIO`` times the usual time, also if the slots are full.
        """
        if self.expected is None or self.usual is None:
            return "unknown"
        return "slow" if self.expected > CLEAR_RATIO * self.usual else "usual"


def usual_service(
    states: Iterable[EndpointState], service: str, now: float
) -> float | None:
    """Return the usual seconds for a plain call of a service, or None if unknown."""
    return usual_seconds(
        state.known_service(now)
        for state in states
        if state.endpoint.service == service
    )


def plain_shortlist(
    states: Sequence[EndpointState],
    zone: str,
    usual: float | None,
    others: int,
    now: float,
) -> list[EndpointState]:
    """Return the endpoints to query, drawn by speed: some of ``zone``, some others."""
    by_name = {state.endpoint.name: state for state in states}
    weights = {
        name: speed_weight(state.known_service(now), usual)
        for name, state in by_name.items()
    }
    order = weighted_order(weights, (random() for _ in weights))
    own = frozenset(
        name for name, state in by_name.items() if state.endpoint.zone == zone
    )
    return [by_name[name] for name in shortlist(order, own, OWN_ZONE_PROBED, others)]


def choose_plain(
    offers: Sequence[PlainOffer], zone: str, usual: float | None, now: float
) -> tuple[int, PlainChoice]:
    """Return the index of the best offer, and what the choice was based on.

    ``offers`` are in the order in which they were drawn.
    """
    candidates = [
        PlainCandidate(
            str(index),
            offer.state.known_service(now),
            offer.running,
            offer.state.endpoint.slots,
            0.0 if offer.state.endpoint.zone == zone else ZONE_BIAS,
        )
        for index, offer in enumerate(offers)
    ]
    best = choose_endpoint(candidates, usual)
    index = int(best.name)
    slots = max(candidate.slots for candidate in candidates)
    expected = None if usual is None else expected_seconds(best, usual, slots)
    known_at = offers[index].state.service_known_at
    age = None if best.seconds is None else now - known_at
    return index, PlainChoice(expected, usual, best.running, age)
