"""Endpoint selection by load, cached prefix, zone and eligibility."""

from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import CacheEvent, LoadReport
from clementinebend_routing.choice import (
    Candidate,
    Choice,
    NoEndpoint,
    RoutingRequest,
    RoutingState,
    choose,
    empty_routing,
    endpoints_to_resync,
    on_cache_event,
    on_cache_snapshot,
    on_dispatch,
    on_finish,
    on_load_report,
    set_endpoints,
)

REQUEST = RoutingRequest("shared", "m", "a", (), 256)
NOW = 100.0


def router(*zones: str) -> RoutingState:
    candidates = tuple(
        Candidate(f"e{number}", "shared", zone, ("m",), True)
        for number, zone in enumerate(zones)
    )
    return set_endpoints(empty_routing(1), candidates, 0.0)


def report(endpoint: str, running: int, **changes: object) -> LoadReport:
    fields = LoadReport(endpoint, Incarnation("i#1"), 1, running, 0, 8, False, 10.0)
    return fields._replace(**changes)  # type: ignore[arg-type]


def chosen(state: RoutingState, request: RoutingRequest = REQUEST) -> str | None:
    _, outcome = choose(state, request, NOW)
    return outcome.endpoint if isinstance(outcome, Choice) else None


def test_prefers_lower_load_then_the_same_zone() -> None:
    state = router("a", "a", "b")
    state = on_load_report(state, report("e0", 8), NOW)
    state = on_load_report(state, report("e1", 2), NOW)
    state = on_load_report(state, report("e2", 2), NOW)
    assert chosen(state) == "e1"


def test_dispatches_since_the_last_report_count() -> None:
    state = router("a", "a")
    for name, running in (("e0", 2), ("e1", 4)):
        state = on_load_report(state, report(name, running), NOW)
    for number in range(8):
        state = on_dispatch(state, "e0", f"r{number}", NOW)
    assert chosen(state) == "e1"


def test_prefers_a_cached_prefix_unless_its_queue_is_longer() -> None:
    state = router("a", "a", "a")
    blocks = tuple(f"b{number}" for number in range(100))
    state = on_cache_event(state, CacheEvent("e2", 1, blocks, ()), NOW)
    request = REQUEST._replace(prefix_blocks=blocks, tokens=2560)
    assert chosen(state, request) == "e2"
    for name, running in (("e0", 0), ("e1", 0), ("e2", 30)):
        state = on_load_report(state, report(name, running), NOW)
    assert chosen(state, request) != "e2"


def test_a_gap_in_cache_events_drops_the_map_until_a_resync() -> None:
    state = router("a", "a")
    state = on_cache_event(state, CacheEvent("e1", 1, ("x",), ()), NOW)
    assert endpoints_to_resync(state) == ()
    state = on_cache_event(state, CacheEvent("e1", 3, ("y",), ()), NOW)
    assert endpoints_to_resync(state) == ("e1",)
    assert list(state.endpoints["e1"].prefix.stored) == ["y"]
    state = on_cache_snapshot(state, "e1", 3, ("x", "y"))
    assert endpoints_to_resync(state) == ()
    state = on_cache_event(state, CacheEvent("e1", 4, (), ("x",)), NOW)
    assert list(state.endpoints["e1"].prefix.stored) == ["y"]


def test_leaving_excluded_and_unsuitable_endpoints_are_never_chosen() -> None:
    state = router("a", "a")
    state = on_load_report(state, report("e0", 0, leaving=True), NOW)
    assert chosen(state) == "e1"
    excluded = REQUEST._replace(exclude=frozenset({"e1"}))
    assert isinstance(choose(state, excluded, NOW)[1], NoEndpoint)
    assert chosen(state, REQUEST._replace(model="other")) is None


def test_failures_eject_a_limited_share_for_a_limited_time() -> None:
    state = router(*"aaaaaaaaa")
    for name in state.endpoints:
        for number in range(4):
            state = on_dispatch(state, name, f"{name}{number}", NOW)
            state = on_finish(state, name, f"{name}{number}", False, 0.1, NOW)
    choices = set()
    for _ in range(300):
        state, choice = choose(state, REQUEST, NOW)
        assert isinstance(choice, Choice)
        choices.add(choice.endpoint)
    assert choices == {f"e{number}" for number in range(3, 9)}
    _, later = choose(state, REQUEST, NOW + 1000)
    assert isinstance(later, Choice)


def test_an_ejected_endpoint_is_not_chosen_however_loaded_the_others_are() -> None:
    state = router("a", "a", "a")
    for number in range(4):
        state = on_dispatch(state, "e0", f"r{number}", NOW)
        state = on_finish(state, "e0", f"r{number}", False, 0.1, NOW)
    for name, running in (("e0", 0), ("e1", 1_000), ("e2", 1_000)):
        state = on_load_report(state, report(name, running), NOW)
    assert chosen(state) in ("e1", "e2")
    only = REQUEST._replace(exclude=frozenset({"e1", "e2"}))
    assert chosen(state, only) == "e0"


def test_an_older_report_changes_nothing() -> None:
    state = router("a", "a")
    state = on_load_report(state, report("e0", 0, sequence=2, leaving=True), NOW)
    state = on_load_report(state, report("e0", 0, sequence=1), NOW)
    assert chosen(state, REQUEST._replace(exclude=frozenset({"e1"}))) is None


def test_the_same_seed_gives_the_same_choices() -> None:
    def choices() -> list[Choice | NoEndpoint]:
        state = router(*"abcabc")
        outcomes = []
        for number in range(20):
            state, outcome = choose(state, REQUEST, NOW + number)
            outcomes.append(outcome)
        return outcomes

    assert choices() == choices()
