"""Which other entries are homes, and what entries hand to one another."""

from collections.abc import Iterable
from itertools import product

import pytest

from clementinebend_ledger.mark_gifts import Wish
from clementinebend_ledger.mark_transfers import Transfer
from clementinebend_membership.suspicion import ANSWER_TIMEOUT, MAX_UNANSWERED
from clementinebend_records.identifiers import new_incarnation
from clementinebend_relay.announcing import Announcement, Directory
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.homes import CANDIDATES, WATCH_PAUSE, WATCHERS
from clementinebend_relay.messages import (
    AskMessage,
    GiftMessage,
    LeavingMessage,
    Message,
)
from clementinebend_relay.peers import UNMET_SECONDS, Peers
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address
from tests.unit.relay.mark_world import TEAM, Clock, FakeLog

NOTICED_SECONDS = 1.0
"""Within this time a home that is gone must be noticed, at any size."""

SIZES = [4, 40, 400]


class Sent:
    """Datagrams that an entry has sent."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def one(self, message: Message, to: Address) -> None:
        self.messages.append(message)

    def all(self, message: Message, to: Iterable[Address]) -> None:
        self.messages.extend(message for _ in to)


def made_peers(clock: Clock, number: int = 0, entries: int = 1) -> tuple[Peers, Sent]:
    """Return the peers of one of some entries, and what it sends."""
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
    peers, _ = made_peers(Clock(), entries=2)
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
    views = [made_peers(clock, number, entries)[0] for number in numbers]
    for part in range(8):
        homes = {peers.home_of(part) or peers.name for peers in views}
        assert len(homes) == 1


@pytest.mark.parametrize("entries", SIZES)
def test_a_silent_home_is_noticed_within_a_second_by_the_next(entries: int) -> None:
    clock = Clock()
    order = made_peers(clock, 0, entries)[0].homes._order(0)
    peers, _ = made_peers(clock, int(order[1].partition("-")[2]), entries)
    assert peers.home_of(0) == order[0]
    started = clock.now
    while peers.home_of(0) is not None:
        for item in peers.homes.watched():
            peers.homes.on_asked(item.boot)
        clock.now += WATCH_PAUSE
    assert clock.now - started <= NOTICED_SECONDS
    peers.on_heard(peers.directory.announcements[order[0]].boot)
    clock.now += 1.0
    assert peers.home_of(0) == order[0]


@pytest.mark.parametrize("entries", SIZES)
def test_whom_an_entry_watches_is_bounded_at_any_size(entries: int) -> None:
    clock = Clock()
    views = [
        made_peers(clock, number, entries)[0] for number in range(min(40, entries))
    ]
    watched = [len(peers.homes.watched()) for peers in views]
    assert max(watched) < WATCHERS * 4
    assert sum(watched) <= WATCHERS * WATCHERS * 4


def test_an_entry_that_watches_nobody_notices_by_questions() -> None:
    clock = Clock()
    probe, _ = made_peers(clock, 0, 40)
    order = probe.homes._order(0)
    outside = next(n for n in range(40) if f"entry-{n}" not in order)
    peers, _ = made_peers(clock, outside, 40)
    for _ in range(MAX_UNANSWERED):
        peers.ask(order[0], TEAM, Wish(5))
        clock.now += 1.5 * ANSWER_TIMEOUT
    clock.now += 0.1
    assert peers.home_of(0) == order[1]
    no_home = GiftMessage(
        peers.directory.announcements[order[1]].boot,
        peers.boot,
        TEAM,
        Transfer(1, 0),
        is_home=False,
    )
    peers.on_gift(no_home)
    assert peers.home_of(0) == order[0]


def test_a_part_is_taken_once_however_often_it_comes() -> None:
    peers, _ = made_peers(Clock(), entries=2)
    account = peers.budgets.keepers[0].account(TEAM)
    account.waiting = 100
    gift = GiftMessage("entry-1#1", peers.boot, TEAM, Transfer(1, 60), is_home=True)
    for _ in range(3):
        peers.on_gift(gift)
    assert account.free == 60
    peers.on_gift(GiftMessage("entry-1#1", "other", TEAM, Transfer(1, 90), True))
    assert account.free == 60
    peers.on_gift(GiftMessage("entry-1#1", peers.boot, TEAM, Transfer(1, 90), True))
    assert account.free == 90


@pytest.mark.parametrize("entries", SIZES)
def test_a_question_costs_one_answer_at_any_size(entries: int) -> None:
    clock = Clock()
    peers, sent = made_peers(clock, 0, entries)
    for number, asked in product(range(1, entries), (10, 20)):
        peers.on_ask(
            AskMessage(f"entry-{number}#1", TEAM, Wish(asked)), Address("h", 1)
        )
    answers = [each for each in sent.messages if isinstance(each, GiftMessage)]
    assert len(answers) == 2 * (entries - 1)
    assert len(sent.messages) - len(answers) <= CANDIDATES


def test_what_is_lacking_is_handed_over_whole_once_the_home_has_it() -> None:
    """One that asks again counts once, and what was asked too long ago not at all."""
    clock = Clock()
    peers, sent = made_peers(clock, 0, 1)
    peers.budgets.keepers[0].view.prepaid = {TEAM: 1_000}
    account = peers.budgets.keepers[0].account(TEAM)
    for boot, asked in (("a#1", 30), ("a#1", 40), ("b#1", 70)):
        peers.on_ask(AskMessage(boot, TEAM, Wish(asked)), Address("h", 1))
    assert account.asked_now(clock()) == 110
    account.limit = 60
    sent.messages.clear()
    peers.serve_unmet(0)
    gifts = [each for each in sent.messages if isinstance(each, GiftMessage)]
    assert [(each.to, each.transfer.total) for each in gifts] == [("a#1", 40)]
    clock.now += UNMET_SECONDS * 2
    account.limit = 1_000
    peers.serve_unmet(0)
    assert len(sent.messages) == 1
    assert not peers.unmet
