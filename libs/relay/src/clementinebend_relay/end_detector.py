"""Whether an endpoint whose answers broke off has ended, and what ran there.

One connection that ends is no proof: connections are reset and answers spoilt while
the endpoint lives on. Proof is that nobody listens at its address, or that another
boot is there.
"""

from asyncio import Task, create_task, open_connection, sleep, timeout
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from typing import NamedTuple

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.metrics import ended_endpoints
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_routing.fatal_runs import FatalRun

CONNECT_DELAYS = (0.02, 0.4)
"""Seconds before the first look whether somebody listens at the address, and before
the second one: a process that ends closes its connections a little sooner."""

CONNECT_TIMEOUT = 0.4
"""Time for a connection, as calls have it."""

UNCONFIRMED_SECONDS = 3.0
"""How long broken answers are remembered while their endpoint's end is not proved."""

COLLECT_SECONDS = 0.02
"""How long the runs of an ended endpoint are gathered before they are told."""


SIMULTANEOUS_SECONDS = 0.5
"""An endpoint's end breaks all its answers off within this time."""

LATE_DATA_SECONDS = 0.5
"""Seconds after an endpoint's end for which its last words may still come."""


RECENT_ACTIVITY_SECONDS = 1.0
"""An endpoint that sent something so shortly before a call was sent, or since, still
lived then."""


class EndedRun(NamedTuple):
    """A run of the request ``fingerprint`` that an endpoint's end broke off."""

    fingerprint: str
    run: FatalRun


class BrokenAnswers:
    """The answers of one boot of an endpoint that broke off since it was heard last.

    ``runs`` has the time of each break as that of the run's end; ``recently_active``
    those before which the endpoint had shown that it lives. ``ended_at`` is when
    the endpoint ended, once that is proved.
    """

    def __init__(self, endpoint: Endpoint, at: float) -> None:
        self.endpoint = endpoint
        self.at = at
        self.runs: list[EndedRun] = []
        self.recently_active: set[EndedRun] = set()
        self.ended_at: float | None = None
        self.is_discarded = False
        self.task: Task[None] | None = None
        self.held_runs = ExitStack()

    def last_break_start(self) -> float:
        """Return when the answers broke off that did so together, as the last ones."""
        last = max((each.run.ended_at for each in self.runs), default=self.at)
        times = (each.run.ended_at for each in self.runs)
        return min(
            (at for at in times if at > last - SIMULTANEOUS_SECONDS), default=last
        )

    def pop_runs(self) -> list[EndedRun]:
        """Return the runs that were there as the endpoint ended, and forget all."""
        runs, self.runs = self.runs, []
        ended_at = self.at if self.ended_at is None else self.ended_at
        return [
            EndedRun(each.fingerprint, each.run._replace(ended_at=ended_at))
            for each in runs
            if each.run.sent_at <= ended_at <= each.run.ended_at
        ]


class EndDetector:
    """Watches endpoints whose answers broke off.

    ``on_ended`` is called with the runs that were there when one has ended. Until a
    first look at the endpoint, runs of a request last on, by ``running``.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        running: Callable[[str], AbstractContextManager[None]],
        on_ended: Callable[[Endpoint, list[EndedRun]], None],
    ) -> None:
        self.clock = clock
        self.running = running
        self.on_ended = on_ended
        self.broken: dict[str, BrokenAnswers] = {}

    def on_broken(self, state: EndpointState, fingerprint: str, sent_at: float) -> None:
        """Note that an endpoint ended a connection before its answer was whole.

        One that leaves, or whose announcement has lapsed, is expected to end.
        """
        if state.is_leaving(self.clock()) or state.lapsed_at is not None:
            return
        boot, now = boot_name(state.endpoint), self.clock()
        self._drop_expired(now)
        broken = self.broken.setdefault(boot, BrokenAnswers(state.endpoint, now))
        run = FatalRun(boot, sent_at, now)
        ended = EndedRun(fingerprint, run)
        broken.runs.append(ended)
        if state.answered_at > sent_at - RECENT_ACTIVITY_SECONDS:
            broken.recently_active.add(ended)
        broken.held_runs.enter_context(self.running(fingerprint))
        if broken.task is None:
            broken.task = create_task(self._check_address(broken))

    def on_alive(self, boot: str) -> None:
        """Take that an endpoint has answered: what broke off had other causes."""
        broken = self.broken.get(boot)
        if broken is not None and self.clock() - broken.at > LATE_DATA_SECONDS:
            del self.broken[boot]
            broken.is_discarded = True

    def on_gone(self, endpoint: Endpoint) -> None:
        """Take that a boot of an endpoint is not there any more."""
        broken = self.broken.get(boot_name(endpoint))
        if broken is not None and broken.ended_at is None:
            # When it ended is not known: perhaps before these calls were sent, to
            # something that takes connections for it.
            broken.runs = [
                each for each in broken.runs if each in broken.recently_active
            ]
            self._end(broken, broken.at, "another boot is there, or none")

    async def _check_address(self, broken: BrokenAnswers) -> None:
        """Look whether an endpoint has ended, and tell of the runs there."""
        for pause in CONNECT_DELAYS:
            await sleep(pause)
            if broken.ended_at is not None or broken.is_discarded:
                break
            if await is_refused(broken.endpoint) and not broken.is_discarded:
                # What broke off well before had another cause.
                ended_at = broken.last_break_start()
                self._end(broken, ended_at, "nobody listens at its address")
                break
            broken.held_runs.close()
        await sleep(COLLECT_SECONDS)
        broken.task = None
        if broken.ended_at is not None:
            self._report(broken)
        broken.held_runs.close()

    def _end(self, broken: BrokenAnswers, ended_at: float, proof: str) -> None:
        broken.ended_at = ended_at
        ended_endpoints.labels(broken.endpoint.service).inc()
        log_decision(
            "endpoint ended",
            endpoint=broken.endpoint.name,
            proof=proof,
            runs=len(broken.runs),
            fingerprints=sorted({each.fingerprint for each in broken.runs}),
        )
        if broken.task is None:
            self._report(broken)

    def _report(self, broken: BrokenAnswers) -> None:
        runs = broken.pop_runs()
        if runs:
            self.on_ended(broken.endpoint, runs)

    def _drop_expired(self, now: float) -> None:
        old = [
            boot
            for boot, broken in self.broken.items()
            if now - broken.at > UNCONFIRMED_SECONDS and broken.task is None
        ]
        for boot in old:
            del self.broken[boot]


async def is_refused(endpoint: Endpoint) -> bool:
    """Tell whether nobody listens at an endpoint's address."""
    try:
        async with timeout(CONNECT_TIMEOUT):
            _, writer = await open_connection(*endpoint.address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        log_decision("endpoint not proved to have ended", problem=str(error))
        return False
    writer.close()
    return False
