"""Detects that an endpoint's process has ended, and which runs it ended under.

A broken connection alone is no proof: connections are reset and answers corrupted
while the endpoint keeps running. Proof is a refused connection at its address, or the
announcement of another boot.
"""

from asyncio import Task, create_task, open_connection, sleep
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, ExitStack
from itertools import chain
from typing import NamedTuple

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.metrics import ended_endpoints
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.prompt_parts import logged_names
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_transport.late_waits import set_up_within

CONNECT_DELAYS = (0.02, 0.4)
"""Seconds before the first connection to the address, and between the first and the
second one: an ending process closes its connections shortly before its socket."""

CONNECT_TIMEOUT = 0.4
"""Timeout in seconds for a connection, the same as for calls."""

UNCONFIRMED_SECONDS = 3.0
"""Seconds for which broken answers are kept while the endpoint's end is not proved."""

COLLECT_SECONDS = 0.02
"""Seconds for which the runs of an ended endpoint are collected before the report."""


SIMULTANEOUS_SECONDS = 0.5
"""The end of an endpoint breaks all its answers within this many seconds."""

LATE_DATA_SECONDS = 0.5
"""Seconds after an endpoint's end in which data that it sent may still arrive."""


RECENT_ACTIVITY_SECONDS = 1.0
"""An endpoint whose last data arrived at most this many seconds before a call was sent,
or later, is taken to have been running when the call was sent."""


MAX_PARTS_LOGGED = 16
"""Maximum number of parts of prompts in the log line about an end."""


class EndedRun(NamedTuple):
    """A run of the request ``fingerprint`` that the end of its endpoint interrupted.

    ``parts`` are the parts of its prompt that other requests may share.
    """

    fingerprint: str
    run: FatalRun
    parts: tuple[str, ...] = ()


class BrokenAnswers:
    """Answers of one boot of an endpoint that broke off since its last data.

    ``at`` is the time of the first break. Each of the ``runs`` ends at the time of its
    break; ``recently_active`` are those before which the endpoint was active.
    ``ended_at`` is when the endpoint ended, once that is proved. ``held_runs`` keeps
    the runs counted as in check.
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
        """Return when the last group of nearly simultaneous breaks began."""
        last = max((each.run.ended_at for each in self.runs), default=self.at)
        times = (each.run.ended_at for each in self.runs)
        return min(
            (at for at in times if at > last - SIMULTANEOUS_SECONDS), default=last
        )

    def pop_runs(self) -> list[EndedRun]:
        """Remove all runs; return those in progress when the endpoint ended."""
        runs, self.runs = self.runs, []
        ended_at = self.at if self.ended_at is None else self.ended_at
        return [
            each._replace(run=each.run._replace(ended_at=ended_at))
            for each in runs
            if each.run.sent_at <= ended_at <= each.run.ended_at
        ]


def _parts_without_event(runs: list[EndedRun]) -> list[str]:
    """Return the most frequent parts of the runs that had brought no event yet.

    Only such runs can have begun to be answered as their endpoint ended.
    """
    silent = (each for each in runs if each.run.first_event_at is None)
    counts = Counter(chain.from_iterable(each.parts for each in silent))
    return logged_names([name for name, _ in counts.most_common(MAX_PARTS_LOGGED)])


async def is_refused(endpoint: Endpoint) -> bool:
    """Return whether an endpoint's address refuses connections."""
    try:
        _, writer = await set_up_within(
            open_connection(*endpoint.address),
            CONNECT_TIMEOUT,
            lambda connection: connection[1].close(),
        )
    except ConnectionRefusedError:
        return True
    except OSError as error:
        log_decision("endpoint end not proved", problem=str(error))
        return False
    writer.close()
    return False


class EndDetector:
    """Checks endpoints whose answers broke off.

    ``on_ended`` is called with the runs in progress when an endpoint ended. Until the
    first check of an endpoint, ``checking`` keeps its broken runs counted as in check.
    ``is_refused`` returns whether an endpoint's address refuses connections.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        checking: Callable[[str], AbstractContextManager[None]],
        on_ended: Callable[[Endpoint, list[EndedRun]], None],
        is_refused: Callable[[Endpoint], Awaitable[bool]] = is_refused,
    ) -> None:
        self.clock = clock
        self.checking = checking
        self.on_ended = on_ended
        self.is_refused = is_refused
        self.broken: dict[str, BrokenAnswers] = {}

    def on_broken(
        self,
        state: EndpointState,
        fingerprint: str,
        sent_at: float,
        first_event_at: float | None = None,
        parts: tuple[str, ...] = (),
        broke_at: float | None = None,
    ) -> None:
        """Record that an endpoint closed a connection before its answer was complete.

        ``first_event_at`` is when the first event of the answer arrived, if any did,
        and ``parts`` are the parts of the prompt that other requests may share.
        ``broke_at`` is when the connection closed, if that is not now. Ignored if the
        endpoint is leaving or its announcement has lapsed: its end is expected.
        """
        if state.is_leaving(self.clock()) or state.lapsed_at is not None:
            return
        boot = boot_name(state.endpoint)
        now = self.clock() if broke_at is None else broke_at
        self._drop_expired(now)
        broken = self.broken.setdefault(boot, BrokenAnswers(state.endpoint, now))
        run = FatalRun(boot, sent_at, now, first_event_at)
        ended = EndedRun(fingerprint, run, parts)
        broken.runs.append(ended)
        if state.answered_at > sent_at - RECENT_ACTIVITY_SECONDS:
            broken.recently_active.add(ended)
        broken.held_runs.enter_context(self.checking(fingerprint))
        if broken.task is None:
            broken.task = create_task(self._check_address(broken))

    def on_alive(self, boot: str) -> None:
        """Record an answer of an endpoint: its broken answers had other causes.

        Answers that arrive within ``LATE_DATA_SECONDS`` prove nothing.
        """
        broken = self.broken.get(boot)
        if broken is not None and self.clock() - broken.at > LATE_DATA_SECONDS:
            del self.broken[boot]
            broken.is_discarded = True

    def on_gone(self, endpoint: Endpoint) -> None:
        """Record that a boot of an endpoint has been dropped, which proves its end."""
        broken = self.broken.get(boot_name(endpoint))
        if broken is not None and broken.ended_at is None:
            # The time of the end is unknown. It may have ended before these calls were
            # sent, with a proxy that accepted the connections in its place.
            broken.runs = [
                each for each in broken.runs if each in broken.recently_active
            ]
            self._end(broken, broken.at, "another boot is there, or none")

    async def _check_address(self, broken: BrokenAnswers) -> None:
        """Check whether an endpoint has ended, and report the runs it interrupted."""
        for pause in CONNECT_DELAYS:
            await sleep(pause)
            if broken.ended_at is not None or broken.is_discarded:
                break
            if await self.is_refused(broken.endpoint) and not broken.is_discarded:
                # Answers that broke off well before the end had another cause.
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
            parts=_parts_without_event(broken.runs),
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
