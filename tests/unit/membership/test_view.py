"""Host availability from the lagging host list and direct evidence."""

from hypothesis import given, settings
from hypothesis.strategies import booleans, lists, sampled_from, tuples

from clementinebend_membership.view import (
    ABSENT_SUSPECT_SECONDS,
    EVIDENCE_SECONDS,
    FORGET_SECONDS,
    LISTED_SUSPECT_SECONDS,
    Evidence,
    HostEntry,
    View,
    empty_view,
    on_direct_evidence,
    on_host_list,
    suspects,
    usable,
)
from clementinebend_records.identifiers import Incarnation

FIRST = Incarnation("e#1")
SECOND = Incarnation("e#2")
LIVE = (HostEntry("e", "127.0.0.1:1", "a", "live"),)
LEAVING = (LIVE[0]._replace(state="leaving"),)
ABSENT: tuple[HostEntry, ...] = ()


def listed_live() -> View:
    return on_host_list(empty_view(), LIVE, 0.0)


def test_a_listed_host_is_usable_without_evidence() -> None:
    view = listed_live()
    assert usable(view, "e", 0.0)
    assert not usable(view, "unknown", 0.0)
    assert not usable(on_host_list(view, LEAVING, 1.0), "e", 1.0)


def test_direct_evidence_newer_than_the_list_takes_precedence() -> None:
    view = on_host_list(listed_live(), LEAVING, 1.0)
    view = on_direct_evidence(view, "e", FIRST, Evidence.REACHABLE, 2.0)
    view = on_host_list(view, LEAVING, 3.0)
    assert usable(view, "e", 3.0)
    view = on_direct_evidence(view, "e", FIRST, Evidence.UNREACHABLE, 4.0)
    view = on_host_list(view, LIVE, 5.0)
    assert not usable(view, "e", 5.0)
    assert usable(view, "e", 4.0 + EVIDENCE_SECONDS)


def test_a_change_in_the_list_overrides_older_evidence() -> None:
    view = on_direct_evidence(listed_live(), "e", FIRST, Evidence.REACHABLE, 1.0)
    view = on_host_list(view, LEAVING, 2.0)
    assert not usable(view, "e", 2.0)


def test_a_reachable_host_not_yet_listed_is_usable() -> None:
    view = on_direct_evidence(empty_view(), "e", FIRST, Evidence.REACHABLE, 1.0)
    view = on_host_list(view, ABSENT, 2.0)
    assert usable(view, "e", 2.0)


STEPS = lists(
    tuples(sampled_from([LIVE, LEAVING, ABSENT, None]), sampled_from(Evidence)),
    max_size=12,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS, STEPS, booleans())
def test_leaving_applies_to_one_incarnation_only(
    before: list[tuple[tuple[HostEntry, ...] | None, Evidence]],
    after: list[tuple[tuple[HostEntry, ...] | None, Evidence]],
    returns: bool,
) -> None:
    view, now = listed_live(), 0.0
    steps = (*before, (None, Evidence.LEAVING), *after)
    for index, (entries, evidence) in enumerate(steps):
        now += 1.0
        if entries is None:
            view = on_direct_evidence(view, "e", FIRST, evidence, now)
        else:
            view = on_host_list(view, entries, now)
        assert index < len(before) or not usable(view, "e", now)
    if returns:
        view = on_direct_evidence(view, "e", SECOND, Evidence.REACHABLE, now + 1.0)
        assert usable(view, "e", now + 1.0)


def test_evidence_of_an_old_incarnation_is_ignored() -> None:
    view = on_direct_evidence(listed_live(), "e", SECOND, Evidence.REACHABLE, 1.0)
    view = on_direct_evidence(view, "e", FIRST, Evidence.UNREACHABLE, 2.0)
    assert usable(view, "e", 2.0)


def test_an_absent_host_is_suspect_sooner_than_a_listed_one() -> None:
    view = on_direct_evidence(listed_live(), "e", FIRST, Evidence.UNREACHABLE, 1.0)
    view = on_direct_evidence(view, "e", FIRST, Evidence.UNREACHABLE, 20.0)
    assert suspects(view, 1.0 + ABSENT_SUSPECT_SECONDS) == ()
    assert suspects(view, 1.0 + LISTED_SUSPECT_SECONDS) == ("e",)
    absent = on_host_list(view, ABSENT, 2.0)
    assert suspects(absent, 1.0 + ABSENT_SUSPECT_SECONDS) == ("e",)
    back = on_direct_evidence(absent, "e", FIRST, Evidence.REACHABLE, 30.0)
    assert suspects(back, 1000.0) == ()


def test_absence_from_the_list_alone_is_no_suspicion() -> None:
    view = on_host_list(listed_live(), ABSENT, 1.0)
    assert suspects(view, 1000.0) == ()
    seen = on_direct_evidence(view, "e", FIRST, Evidence.REACHABLE, 2.0)
    assert suspects(on_host_list(seen, ABSENT, 3.0), 1000.0) == ()


def test_a_host_absent_for_long_is_removed() -> None:
    view = on_direct_evidence(listed_live(), "e", FIRST, Evidence.UNREACHABLE, 1.0)
    view = on_host_list(view, ABSENT, 2.0)
    assert "e" in view.hosts
    assert on_host_list(view, ABSENT, 1.0 + FORGET_SECONDS).hosts == {}
