"""Marks against a simple oracle: all that was spent never exceeds the budget."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.unit.relay.mark_world import MarkWorld

ENTRIES = 3
FUZZ = bool(os.environ.get("CLEMENTINEBEND_FUZZ"))
EXAMPLES = 1000 if FUZZ else 60

numbers = st.integers(0, ENTRIES - 1)
modes = st.sampled_from(["ok", "ok", "ok", "down", "lost", "late"])
amounts = st.integers(1, 400)


class MarksMachine(RuleBasedStateMachine):
    """Calls, commits, outages, kills and lost messages in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = MarkWorld(ENTRIES, 2000)
        self.world.ping()
        for number in range(ENTRIES):
            self.world.commit(number)

    def teardown(self) -> None:
        self.world.close()

    @rule(number=numbers, amount=amounts, calls=st.integers(1, 8))
    def call(self, number: int, amount: int, calls: int) -> None:
        """Spend as much as the entry lets us."""
        for _ in range(calls):
            self.world.entries[number].call(amount // calls + 1)

    @rule(number=numbers, part=st.floats(0, 1))
    def finish(self, number: int, part: float) -> None:
        entry = self.world.entries[number]
        if entry.outstanding:
            entry.finish(part)

    @rule(number=numbers)
    def commit(self, number: int) -> None:
        self.world.commit(number)

    @rule(number=numbers, mode=modes)
    def change_log(self, number: int, mode: str) -> None:
        self.world.entries[number].log.mode = mode

    @rule(number=numbers, lost=st.booleans())
    def open_reserve(self, number: int, lost: bool) -> None:
        self.world.entries[number].manager.open_reserve()
        self.world.deliver(lambda sent: not lost or sent.to.host != "10.0.0.0")

    @rule()
    def deliver(self) -> None:
        self.world.deliver()

    @rule()
    def ping(self) -> None:
        self.world.ping()

    @rule(seconds=st.sampled_from([0.1, 0.6, 3.0]))
    def wait(self, seconds: float) -> None:
        self.world.clock.now += seconds

    @rule(number=numbers, other=numbers)
    def commit_all_but(self, number: int, other: int) -> None:
        """Let some work on while others do not, and reclaim what they can."""
        self.world.clock.now += 3.0
        for entry in set(range(ENTRIES)) - {number, other}:
            self.world.commit(entry)
            self.world.deliver()
            self.world.commit(entry)

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.world.restart(number)

    @precondition(lambda self: self.world.late)
    @rule()
    def land_late(self) -> None:
        self.world.land_late()

    @rule(giver=numbers, taker=numbers, amount=amounts, arrives=st.booleans())
    def hand_over(self, giver: int, taker: int, amount: int, arrives: bool) -> None:
        self.world.hand_over(giver, taker, amount, arrives)

    @rule(number=numbers, amount=amounts)
    def top_up(self, number: int, amount: int) -> None:
        self.world.top_up(amount, number)

    @rule(number=numbers, is_home=st.booleans())
    def change_home(self, number: int, is_home: bool) -> None:
        self.world.entries[number].is_home = is_home

    @rule(number=numbers)
    def release(self, number: int) -> None:
        manager = self.world.entries[number].manager
        manager.plan.is_closing = True
        self.world.commit(number)
        manager.plan.is_closing = False

    @invariant()
    def nothing_is_overspent(self) -> None:
        assert self.world.total() <= self.world.prepaid

    @invariant()
    def nobody_is_above_its_mark(self) -> None:
        assert not self.world.over_quotas()

    @invariant()
    def marks_fit_the_budget(self) -> None:
        quotas = self.world.quotas().values()
        assert sum(quota.ceiling for quota in quotas) <= self.world.prepaid


def test_marks_never_exceed_the_budget() -> None:
    run_state_machine_as_test(
        MarksMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=60,
            derandomize=not FUZZ,
            deadline=None,
        ),
    )
