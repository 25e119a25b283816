"""Checks quotas against a simple oracle: total spending never exceeds the budget."""

import os

import pytest
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


class QuotasWorld(RuleBasedStateMachine):
    """A fleet whose budget and quotas must hold after each step."""

    prepaid = 2000

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(ENTRIES, self.prepaid)
        self.fleet.ping()
        for number in range(ENTRIES):
            self.fleet.commit(number)

    def teardown(self) -> None:
        self.fleet.close()

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


class QuotasMachine(QuotasWorld):
    """Calls, commits, outages, kills and lost messages in any order."""

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


class CallsInProgressMachine(QuotasWorld):
    """Outages and kills with many calls in progress, so that few quotas are written."""

    prepaid = 100_000

    @rule(number=numbers, amount=st.integers(100, 400), calls=st.integers(5, 20))
    def start_calls(self, number: int, amount: int, calls: int) -> None:
        """Start calls for which the entry raises its quota, and let demand decay."""
        entry = self.fleet.entries[number]
        entry.account.start_waiting(amount * calls)
        self.fleet.commit(number)
        entry.account.stop_waiting(amount * calls)
        for _ in range(calls):
            entry.call(amount)
        self.fleet.clock.now += 30.0
        self.fleet.ping()
        self.fleet.commit(number)

    @rule(number=numbers, part=st.floats(0, 1))
    def finish(self, number: int, part: float) -> None:
        entry = self.fleet.entries[number]
        if entry.outstanding:
            entry.finish(part)

    @rule(number=numbers, is_home=st.booleans())
    def change_home(self, number: int, is_home: bool) -> None:
        self.fleet.entries[number].is_home = is_home

    @rule(giver=numbers, taker=numbers, amount=amounts, arrives=st.booleans())
    def hand_over(self, giver: int, taker: int, amount: int, arrives: bool) -> None:
        self.fleet.hand_over(giver, taker, amount, arrives)

    @rule(number=numbers, amount=st.integers(10, 400), epochs=st.integers(1, 3))
    def outlast_outage(self, number: int, amount: int, epochs: int) -> None:
        """Use the reserve in an outage of the log; write some records after it."""
        entry = self.fleet.entries[number]
        entry.manager.open_reserve()
        self.fleet.deliver()
        entry.call(amount)
        for _ in range(epochs):
            self.fleet.clock.now += 1.1
            self.fleet.ping()
            self.fleet.commit(number)

    @rule(number=numbers, other=numbers)
    def end_and_reclaim(self, number: int, other: int) -> None:
        """Kill an entry; another one reclaims what is proved unspent."""
        self.fleet.restart(number)
        for _ in range(3):
            self.fleet.clock.now += 3.0
            self.fleet.commit(other)
            self.fleet.deliver()


@pytest.mark.parametrize("machine", [QuotasMachine, CallsInProgressMachine])
def test_quotas_never_exceed_the_budget(machine: type[QuotasWorld]) -> None:
    """Guards against overspending by any order of calls, outages and kills."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=60,
            derandomize=not FUZZ,
            deadline=None,
        ),
    )
