"""Fuzz test of admission against a model of the waiting and running requests.

``CLEMENTINEBEND_FUZZ=1`` runs more examples, with fresh seeds.
"""

from os import environ
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinebend_admission.estimates import MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS
from clementinebend_admission.queue import (
    Admitted,
    Arrival,
    Queued,
    Refused,
    arrive,
    cancel,
    empty_admission,
    expire,
    finish,
    set_capacity,
    waiting_count,
)

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
SLOTS = 2
TOKENS = 300
QUEUE_LIMIT = 6

teams = st.sampled_from(["a", "b", "c"])
tokens = st.integers(1, 400)


class AdmissionMachine(RuleBasedStateMachine):
    """Tracks the state of each request and compares admission with it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.state = empty_admission(SLOTS, TOKENS, QUEUE_LIMIT)
        self.slots = SLOTS
        self.arrivals: dict[str, Arrival] = {}
        self.waiting: dict[str, Arrival] = {}
        self.running: dict[str, Arrival] = {}
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()

    @rule(team=teams, priority=st.integers(0, 2), size=tokens, patience=st.floats(0, 9))
    def arrive(self, team: str, priority: int, size: int, patience: float) -> None:
        request = f"r{len(self.arrivals)}"
        arrival = Arrival(request, team, 1.0, priority, size, self.now + patience)
        self.arrivals[request] = arrival
        self.state, outcome = arrive(self.state, arrival, self.now)
        if isinstance(outcome, Queued):
            self.waiting[request] = arrival
        elif isinstance(outcome, Refused):
            self.record_refused((outcome,))
        else:
            self.waiting[request] = arrival
            self.record_admitted((outcome,))

    @rule(data=st.data(), share=st.floats(0, 1))
    def finish(self, data: Any, share: float) -> None:
        if not self.running:
            return
        request = data.draw(st.sampled_from(sorted(self.running)))
        used = int(self.running.pop(request).tokens * share)
        self.state, admitted = finish(self.state, request, used, self.now)
        self.record_admitted(admitted)

    @rule(data=st.data())
    def cancel(self, data: Any) -> None:
        known = sorted({**self.running, **self.waiting})
        if not known:
            return
        request = data.draw(st.sampled_from(known))
        self.running.pop(request, None)
        self.waiting.pop(request, None)
        self.cancelled.add(request)
        self.state, admitted = cancel(self.state, request, self.now)
        self.record_admitted(admitted)

    @rule()
    def expire(self) -> None:
        late = {name for name, one in self.waiting.items() if one.deadline <= self.now}
        self.state, refused = expire(self.state, self.now)
        assert late <= {one.request for one in refused}
        self.record_refused(refused)

    @rule(slots=st.integers(0, 4))
    def change_capacity(self, slots: int) -> None:
        self.slots = slots
        self.state, admitted = set_capacity(self.state, slots, TOKENS, self.now)
        self.record_admitted(admitted)

    @rule(seconds=st.floats(0.01, 5))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def queue_is_bounded(self) -> None:
        assert waiting_count(self.state) <= 2 * QUEUE_LIMIT

    @invariant()
    def no_request_in_time_waits_while_the_fleet_is_idle(self) -> None:
        in_time = [one for one in self.waiting.values() if one.deadline > self.now]
        assert not (in_time and self.slots and not self.running)

    @invariant()
    def every_request_has_one_state(self) -> None:
        assert set(self.state.running) == set(self.running)
        kept = set(self.state.team_by_request) | set(self.state.overdue)
        assert kept == set(self.waiting)

    def teardown(self) -> None:
        self.now += 100
        for request in sorted(self.running):
            self.state, admitted = finish(self.state, request, 1, self.now)
            assert admitted == ()
        self.state, refused = expire(self.state, self.now)
        self.record_refused(refused)
        assert not self.waiting

    def record_admitted(self, admitted: tuple[Admitted, ...]) -> None:
        for one in admitted:
            arrival = self.waiting.pop(one.request)
            assert arrival.deadline > self.now
            assert len(self.running) < self.slots
            self.running[one.request] = arrival

    def record_refused(self, refused: tuple[Refused, ...]) -> None:
        for one in refused:
            assert one.request not in self.running
            assert one.request not in self.refused | self.cancelled
            assert MIN_RETRY_AFTER_MS <= one.retry_after_ms <= MAX_RETRY_AFTER_MS
            self.waiting.pop(one.request, None)
            self.refused.add(one.request)


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    max_examples=2_000 if FUZZ else 60,
    stateful_step_count=80 if FUZZ else 40,
    derandomize=not FUZZ,
    deadline=None,
)
