"""Checks quotas against a simple oracle: total spending never exceeds the budget."""

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

from tests.unit.relay.simulated_fleet import SimulatedFleet

ENTRIES = 3
FUZZ = bool(os.environ.get("CLEMENTINEBEND_FUZZ"))
EXAMPLES = 1000 if FUZZ else 60

numbers = st.integers(0, ENTRIES - 1)
modes = st.sampled_from(["ok", "ok", "ok", "down", "lost", "late"])
amounts = st.integers(1, 400)


class QuotasMachine(RuleBasedStateMachine):
    """Calls, commits, outages, kills and lost messages in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(ENTRIES, 2000)
        self.fleet.ping()
        for number in range(ENTRIES):
            self.fleet.commit(number)

    def teardown(self) -> None:
        self.fleet.close()

    @rule(number=numbers, amount=amounts, calls=st.integers(1, 8))
    def call(self, number: int, amount: int, calls: int) -> None:
        """Spend as much as the entry allows."""
        for _ in range(calls):
            self.fleet.entries[number].call(amount // calls + 1)

    @rule(number=numbers, part=st.floats(0, 1))
    def finish(self, number: int, part: float) -> None:
        entry = self.fleet.entries[number]
        if entry.outstanding:
            entry.finish(part)

    @rule(number=numbers)
    def commit(self, number: int) -> None:
        self.fleet.commit(number)

    @rule(number=numbers, mode=modes)
    def change_log(self, number: int, mode: str) -> None:
        self.fleet.entries[number].log.mode = mode

    @rule(number=numbers, lost=st.booleans())
    def open_reserve(self, number: int, lost: bool) -> None:
        self.fleet.entries[number].manager.open_reserve()
        self.fleet.deliver(lambda sent: not lost or sent.to.host != "10.0.0.0")

    @rule()
    def deliver(self) -> None:
        self.fleet.deliver()

    @rule()
    def ping(self) -> None:
        self.fleet.ping()

    @rule(seconds=st.sampled_from([0.1, 0.6, 3.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.clock.now += seconds

    @rule(number=numbers, other=numbers)
    def commit_all_but(self, number: int, other: int) -> None:
        """Let some entries commit while others do not, and reclaim what they can."""
        self.fleet.clock.now += 3.0
        for entry in set(range(ENTRIES)) - {number, other}:
            self.fleet.commit(entry)
            self.fleet.deliver()
            self.fleet.commit(entry)

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.fleet.restart(number)

    @precondition(lambda self: self.fleet.delayed)
    @rule()
    def execute_delayed(self) -> None:
        self.fleet.execute_delayed()

    @rule(giver=numbers, taker=numbers, amount=amounts, arrives=st.booleans())
    def hand_over(self, giver: int, taker: int, amount: int, arrives: bool) -> None:
        self.fleet.hand_over(giver, taker, amount, arrives)

    @rule(number=numbers, amount=amounts)
    def top_up(self, number: int, amount: int) -> None:
        self.fleet.top_up(amount, number)

    @rule(number=numbers, is_home=st.booleans())
    def change_home(self, number: int, is_home: bool) -> None:
        self.fleet.entries[number].is_home = is_home

    @rule(number=numbers)
    def release(self, number: int) -> None:
        manager = self.fleet.entries[number].manager
        manager.plan.is_closing = True
        self.fleet.commit(number)
        manager.plan.is_closing = False

    @invariant()
    def nothing_is_overspent(self) -> None:
        assert self.fleet.total() <= self.fleet.prepaid

    @invariant()
    def no_entry_exceeds_its_quota(self) -> None:
        assert not self.fleet.over_quotas()

    @invariant()
    def quotas_fit_the_budget(self) -> None:
        quotas = self.fleet.quotas().values()
        assert sum(quota.ceiling for quota in quotas) <= self.fleet.prepaid


def test_quotas_never_exceed_the_budget() -> None:
    run_state_machine_as_test(
        QuotasMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=60,
            derandomize=not FUZZ,
            deadline=None,
        ),
    )
