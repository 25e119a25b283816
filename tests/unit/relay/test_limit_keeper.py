"""What the process that grants permits keeps, by endpoint boot."""

from clementinebend_relay.limit_keeper import MAX_IDLE_SECONDS, MAX_LIMITED, LimitKeeper
from clementinebend_relay.queue_keeper import MAX_QUEUES
from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.request_permits import CallClass

CALLS = CallClass(0, "team")
LIMIT = RequestLimit(1, 1.8)


def keeper_at(now: list[float]) -> LimitKeeper:
    return LimitKeeper(lambda: now[0])


def test_an_endpoint_that_named_no_limit_needs_no_permit() -> None:
    keeper = keeper_at([0.0])
    keeper.on_limit("e/1", RequestLimit(), "entry")
    assert keeper.report("e/1", CALLS) is None
    assert keeper.request_permit("e/1", "r", CALLS, False).is_granted


def test_a_limit_holds_for_one_boot_only() -> None:
    keeper = keeper_at([0.0])
    keeper.on_limit("e/1", LIMIT, "entry")
    report = keeper.report("e/1", CALLS)
    assert report is not None
    assert report.limit == LIMIT
    assert keeper.report("e/2", CALLS) is None


def test_an_older_report_changes_nothing() -> None:
    keeper = keeper_at([0.0])
    keeper.on_limit("e/1", RequestLimit(3, 0.4), "entry")
    keeper.on_limit("e/1", RequestLimit(2, None), "entry")
    report = keeper.report("e/1", CALLS)
    assert report is not None
    assert report.limit.rate == 0.4


def test_limits_of_more_endpoints_than_queues_are_kept() -> None:
    keeper = keeper_at([0.0])
    boots = [f"e{number}/1" for number in range(4 * MAX_QUEUES)]
    for boot in boots:
        keeper.on_limit(boot, LIMIT, "entry")
    assert all(keeper.report(boot, CALLS) for boot in boots)


def test_endpoints_that_nobody_asks_about_are_forgotten() -> None:
    now = [0.0]
    keeper = keeper_at(now)
    keeper.on_limit("old/1", LIMIT, "entry")
    now[0] = MAX_IDLE_SECONDS + 1.0
    keeper.on_limit("new/1", LIMIT, "entry")
    assert list(keeper.permits) == ["new/1"]


def test_the_number_of_limits_is_bounded() -> None:
    keeper = keeper_at([0.0])
    for number in range(MAX_LIMITED + 10):
        keeper.on_limit(f"e{number}/1", LIMIT, "entry")
    assert len(keeper.permits) == MAX_LIMITED
