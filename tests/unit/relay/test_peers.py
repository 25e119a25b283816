"""Tests the choice of homes and the transfers between entries."""

from asyncio import create_task, get_running_loop, sleep
from collections.abc import Callable, Iterable
from itertools import product

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_ledger.quota_requests import TokenRequest
from clementinebend_ledger.quota_transfers import Transfer
from clementinebend_membership.suspicion import ANSWER_TIMEOUT, MAX_UNANSWERED
from clementinebend_records.identifiers import new_incarnation
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.homes import (
    HOME_CANDIDATES,
    HOME_WATCHERS,
    LIVENESS_CHECK_INTERVAL,
)
from clementinebend_relay.messages import (
    LeavingMessage,
    Message,
    TokenRequestMessage,
    TransferMessage,
)
from clementinebend_relay.peers import UNMET_SECONDS, Peers
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address
from tests.unit.relay.simulated_fleet import TEAM, Clock, FakeLog

NOTICED_SECONDS = 1.0
"""Seconds within which a failed home must be noticed, in a fleet of any size."""

SIZES = [4, 40, 400]


class Sent:
    """Records the datagrams that an entry sends."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def one(self, message: Message, to: Address) -> None:
        self.messages.append(message)

    def all(self, message: Message, to: Iterable[Address]) -> None:
        self.messages.extend(message for _ in to)


def make_peers(
    clock: Callable[[], float], number: int = 0, entries: int = 1
) -> tuple[Peers, Sent]:
    """Return the ``Peers`` of one entry of a fleet, and the datagrams it sends."""
    boot, directory, sent = new_incarnation(f"entry-{number}"), Directory(), Sent()
    witnesses = Witnesses(boot, "z", directory, sent.one, clock)
    budgets = Budgets(boot, (FakeLog([], []),), witnesses, lambda name: False, clock)
    for other in range(entries):
        name = f"entry-{other}"
        item = Announcement(boot if other == number else f"{name}#1", "z", "h", 1)
        directory.put(name, item)
    peers = Peers(
        f"entry-{number}", boot, directory, budgets, sent.one, sent.all, clock
    )
    return peers, sent


def test_a_stopping_entry_is_no_home() -> None:
    peers, _ = make_peers(Clock(), entries=2)
    parts = range(20)
    assert {peers.home_of(part) for part in parts} == {None, "entry-1"}
    peers.on_leaving(LeavingMessage("entry-1#1"))
    assert {peers.home_of(part) for part in parts} == {None}
    peers.directory.put("entry-1", Announcement("entry-1#2", "z", "h", 1))
    peers.resign()
    assert {peers.home_of(part) for part in parts} == {"entry-1"}


@pytest.mark.parametrize("entries", SIZES)
def test_all_entries_agree_on_a_home_at_the_start(entries: int) -> None:
    clock = Clock()
    numbers = (0, entries // 2, entries - 1)
    views = [make_peers(clock, number, entries)[0] for number in numbers]
    for part in range(8):
        homes = {peers.home_of(part) or peers.name for peers in views}
        assert len(homes) == 1


@pytest.mark.parametrize("entries", SIZES)
def test_a_silent_home_is_noticed_within_a_second_by_the_next(entries: int) -> None:
    clock = Clock()
    order = make_peers(clock, 0, entries)[0].homes._order(0)
    peers, _ = make_peers(clock, int(order[1].partition("-")[2]), entries)
    assert peers.home_of(0) == order[0]
    started = clock.now
    while peers.home_of(0) is not None:
        for item in peers.homes.watched():
            peers.homes.on_asked(item.boot)
        clock.now += LIVENESS_CHECK_INTERVAL
    assert clock.now - started <= NOTICED_SECONDS
    peers.on_heard(peers.directory.announcements[order[0]].boot)
    clock.now += 1.0
    assert peers.home_of(0) == order[0]


@pytest.mark.parametrize("entries", SIZES)
def test_whom_an_entry_watches_is_bounded_at_any_size(entries: int) -> None:
    clock = Clock()
    views = [
        make_peers(clock, number, entries)[0] for number in range(min(40, entries))
    ]
    watched = [len(peers.homes.watched()) for peers in views]
    assert max(watched) < HOME_WATCHERS * 4
    assert sum(watched) <= HOME_WATCHERS * HOME_WATCHERS * 4


def test_an_entry_that_watches_nobody_notices_by_unanswered_requests() -> None:
    clock = Clock()
    probe, _ = make_peers(clock, 0, 40)
    order = probe.homes._order(0)
    outside = next(n for n in range(40) if f"entry-{n}" not in order)
    peers, _ = make_peers(clock, outside, 40)
    for _ in range(MAX_UNANSWERED):
        peers.ask(order[0], TEAM, TokenRequest(5))
        clock.now += 1.5 * ANSWER_TIMEOUT
    clock.now += 0.1
    assert peers.home_of(0) == order[1]
    no_home = TransferMessage(
        peers.directory.announcements[order[1]].boot,
        peers.boot,
        TEAM,
        Transfer(1, 0),
        is_home=False,
    )
    peers.on_transfer(no_home)
    assert peers.home_of(0) == order[0]


def test_a_dead_home_is_not_chosen_again_while_it_is_checked() -> None:
    """Guards against checks of a dead home that make its successor resign."""
    clock = Clock()
    order = make_peers(clock, 0, 40)[0].homes._order(0)
    peers, _ = make_peers(clock, int(order[1].partition("-")[2]), 40)
    for _ in range(MAX_UNANSWERED):
        peers._check_liveness(peers.homes.watched())
        clock.now += LIVENESS_CHECK_INTERVAL
    for _ in range(20):
        assert peers.home_of(0) is None
        peers._check_liveness(peers.homes.watched())
        clock.now += ANSWER_TIMEOUT / 2


def candidate(
    clock: Callable[[], float], place: int, entries: int
) -> tuple[Peers, Sent]:
    """Return the entry at a place in the ranking of partition 0."""
    name = make_peers(clock, 0, entries)[0].homes._order(0)[place]
    return make_peers(clock, int(name.partition("-")[2]), entries)


def ask_as_home(peers: Peers) -> TransferMessage:
    """Let another entry ask ``peers`` for tokens; return the answer."""
    asked = TokenRequestMessage("asker#1", TEAM, TokenRequest(5))
    outbox: list[Message] = []
    peers.send = lambda message, to: outbox.append(message)
    peers.on_request(asked, Address("h", 1))
    (answer,) = (each for each in outbox if isinstance(each, TransferMessage))
    return answer


@pytest.mark.parametrize("entries", SIZES)
def test_the_next_candidate_says_that_it_takes_over_until_the_home_answers(
    entries: int,
) -> None:
    """Guards against entries that ask a dead home again, since the next denies it."""
    clock = Clock()
    peers, _ = candidate(clock, 1, entries)
    home = peers.homes._order(0)[0]
    answer = ask_as_home(peers)
    assert (answer.is_home, answer.is_taking_over) == (False, True)
    peers.on_heard(peers.directory.announcements[home].boot)
    answer = ask_as_home(peers)
    assert (answer.is_home, answer.is_taking_over) == (False, False)


def test_neither_a_stopping_entry_nor_one_that_is_no_candidate_takes_over() -> None:
    clock = Clock()
    stopping, _ = candidate(clock, 1, 40)
    stopping.homes.is_leaving = True
    assert not ask_as_home(stopping).is_taking_over
    order = stopping.homes._order(0)
    outside = next(n for n in range(40) if f"entry-{n}" not in order)
    assert not ask_as_home(make_peers(clock, outside, 40)[0]).is_taking_over


def test_an_entry_that_missed_a_stop_learns_of_it_with_its_next_request() -> None:
    """Guards against calls refused until a stopping home has ended."""
    clock = Clock()
    stopping, _ = candidate(clock, 0, 40)
    asker, _ = candidate(clock, HOME_CANDIDATES - 1, 40)
    stopping.resign()
    assert asker.home_of(0) == stopping.name
    outbox: list[Message] = []
    stopping.send = lambda message, to: outbox.append(message)
    asked = TokenRequestMessage(asker.boot, TEAM, TokenRequest(5))
    stopping.on_request(asked, Address("h", 1))
    (notice,) = (each for each in outbox if isinstance(each, LeavingMessage))
    asker.directory.put(stopping.name, Announcement(stopping.boot, "z", "h", 1))
    asker.on_leaving(notice)
    assert asker.home_of(0) == stopping.homes._order(0)[1]


def test_an_entry_keeps_asking_the_candidate_that_takes_over() -> None:
    clock = Clock()
    peers, _ = make_peers(clock, 0, 40)
    order = peers.homes._order(0)
    for _ in range(MAX_UNANSWERED):
        peers.ask(order[0], TEAM, TokenRequest(5))
        clock.now += 1.5 * ANSWER_TIMEOUT
    assert peers.home_of(0) == order[1]
    peers.on_transfer(
        TransferMessage(
            peers.directory.announcements[order[1]].boot,
            peers.boot,
            TEAM,
            Transfer(1, 0),
            is_home=False,
            is_taking_over=True,
        )
    )
    assert peers.home_of(0) == order[1]


def test_a_candidate_takes_over_soon_after_it_is_asked() -> None:
    """Guards against checks that wait for the next regular one."""

    async def main() -> str | None:
        peers, _ = candidate(get_running_loop().time, 1, 40)
        watching = create_task(peers.watch())
        await sleep(3 * LIVENESS_CHECK_INTERVAL + 0.1)
        peers.on_heard(peers.directory.announcements[peers.homes._order(0)[0]].boot)
        ask_as_home(peers)
        await sleep((MAX_UNANSWERED + 1) * ANSWER_TIMEOUT)
        watching.cancel()
        return peers.home_of(0)

    assert run_virtually(main()) is None


def test_a_repeated_transfer_is_applied_once() -> None:
    peers, _ = make_peers(Clock(), entries=2)
    account = peers.budgets.managers[0].account(TEAM)
    account.start_waiting(100)
    transfer_message = TransferMessage(
        "entry-1#1", peers.boot, TEAM, Transfer(1, 60), is_home=True
    )
    for _ in range(3):
        peers.on_transfer(transfer_message)
    assert account.free == 60
    peers.on_transfer(
        TransferMessage("entry-1#1", "other", TEAM, Transfer(1, 90), True)
    )
    assert account.free == 60
    peers.on_transfer(
        TransferMessage("entry-1#1", peers.boot, TEAM, Transfer(1, 90), True)
    )
    assert account.free == 90


@pytest.mark.parametrize("entries", SIZES)
def test_a_request_costs_one_answer_at_any_size(entries: int) -> None:
    clock = Clock()
    peers, sent = make_peers(clock, 0, entries)
    for number, asked in product(range(1, entries), (10, 20)):
        peers.on_request(
            TokenRequestMessage(f"entry-{number}#1", TEAM, TokenRequest(asked)),
            Address("h", 1),
        )
    answers = [each for each in sent.messages if isinstance(each, TransferMessage)]
    assert len(answers) == 2 * (entries - 1)
    assert len(sent.messages) - len(answers) <= HOME_CANDIDATES


def test_unmet_requests_are_met_in_full_once_the_home_has_the_tokens() -> None:
    """A repeated request counts once, and an expired one not at all."""
    clock = Clock()
    peers, sent = make_peers(clock, 0, 1)
    peers.budgets.managers[0].view.prepaid = {TEAM: 1_000}
    account = peers.budgets.managers[0].account(TEAM)
    for boot, asked in (("a#1", 30), ("a#1", 40), ("b#1", 70)):
        peers.on_request(
            TokenRequestMessage(boot, TEAM, TokenRequest(asked)), Address("h", 1)
        )
    assert account.requested_within(1_000, clock()) == 110
    account.limit = 60
    sent.messages.clear()
    peers.serve_unmet(0)
    gifts = [each for each in sent.messages if isinstance(each, TransferMessage)]
    assert [(each.to, each.transfer.total) for each in gifts] == [("a#1", 40)]
    clock.now += UNMET_SECONDS * 2
    account.limit = 1_000
    peers.serve_unmet(0)
    assert len(sent.messages) == 1
    assert not peers.unmet
