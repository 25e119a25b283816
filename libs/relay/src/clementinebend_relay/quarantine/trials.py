"""Trial runs of quarantined requests that may be harmless. Pure functions.

A quarantine keeps a harmless request from running, and so from being cleared. If the
request has run well before, a run is therefore tried after a while. All entries send
trial runs to the same endpoint, so that a trial ends one endpoint at most.

Times are in seconds on the monotonic clock of the process that keeps the quarantine.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from clementinebend_routing.fatal_runs import FatalRun

TRIAL_DELAYS = (3.0, 30.0)
"""Seconds from a quarantine, or from a failed trial, to the next trial."""

PART_TRIAL_DELAYS = (2.0, 30.0, 480.0)
"""The same for a part of prompts, which is tried without a history, at first soon: its
verdict keeps many callers' requests from endpoints, and with them all that could clear
it."""

TRIAL_SECONDS = 1.5
"""Seconds in which a trial usually shows whether the request is harmless."""

UNTRIED_SECONDS = 30.0
"""Seconds for which a due trial of a part waits for a request other than those that may
be the cause. They may be the only ones that have the part."""

LATE_RUN_SECONDS = 1.5
"""Seconds after a quarantine in which entries may send a run that have not heard of it,
as its datagrams were lost."""


class QuarantinedRequest(NamedTuple):
    """A quarantined request.

    ``endpoints`` are the boots of endpoints that ended under it. ``since`` is when the
    quarantine, or its last trial, began. ``trial_at`` is when a run may be tried, or
    infinity. ``failed_trials`` is the number of trials that ended an endpoint, and
    ``delays`` are the seconds before each trial. A trial run of a part must have none
    of its ``companions``, parts that may have been the cause of the same ends, and
    should be of none of the ``requests`` that may have been.
    """

    endpoints: frozenset[str]
    since: float
    trial_at: float = inf
    failed_trials: int = 0
    delays: tuple[float, ...] = ()
    companions: frozenset[str] = frozenset()
    requests: frozenset[str] = frozenset()


def quarantined_request(
    endpoints: Iterable[str], now: float, delays: tuple[float, ...] = ()
) -> QuarantinedRequest:
    """Return a request that is quarantined from now on, with the delays of trials."""
    trial_at = now + delays[0] if delays else inf
    return QuarantinedRequest(frozenset(endpoints), now, trial_at, delays=delays)


def quarantined_part(
    endpoints: Iterable[str],
    now: float,
    companions: frozenset[str],
    requests: frozenset[str],
) -> QuarantinedRequest:
    """Return a part that is quarantined from now on."""
    part = quarantined_request(endpoints, now, PART_TRIAL_DELAYS)
    return part._replace(companions=companions, requests=requests)


def is_on_trial(request: QuarantinedRequest, now: float, fingerprint: str) -> bool:
    """Return whether a quarantined subject may be tried by a run of ``fingerprint``."""
    if fingerprint in request.requests:
        return now >= request.trial_at + UNTRIED_SECONDS
    return now >= request.trial_at


def with_end(
    request: QuarantinedRequest, run: FatalRun, now: float
) -> QuarantinedRequest:
    """Return the subject after another endpoint ended under a run of it.

    A run that was sent well after the beginning of the quarantine was a trial. The next
    one should be of another request.
    """
    endpoints = request.endpoints | {run.endpoint}
    is_trial = run.sent_at > request.since + LATE_RUN_SECONDS
    if run.endpoint in request.endpoints or not is_trial:
        return request._replace(endpoints=endpoints)
    failed = request.failed_trials + 1
    delays = request.delays
    trial_at = inf if failed >= len(delays) else now + delays[failed]
    return request._replace(
        endpoints=endpoints,
        since=now,
        trial_at=trial_at,
        failed_trials=failed,
        requests=request.requests | {run.request},
    )


def retry_delay(request: QuarantinedRequest, now: float, without_trial: float) -> float:
    """Return the seconds after which a caller may retry a quarantined request.

    That is when the next trial has shown its result, or ``without_trial`` if there is
    none.
    """
    if request.trial_at == inf:
        return without_trial
    return max(0.0, request.trial_at - now) + TRIAL_SECONDS
