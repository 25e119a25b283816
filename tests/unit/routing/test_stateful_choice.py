"""Stateful fuzzing of endpoint selection and of the cache maps.

``CLEMENTINEBEND_FUZZ=1`` runs more examples with random seeds.
"""

from os import environ
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import CacheEvent, LoadReport
from clementinebend_routing.choice import (
    Candidate,
    Choice,
    NoEndpoint,
    RoutingRequest,
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
from clementinebend_routing.outliers import is_ejected

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
NAMES = ("e0", "e1", "e2", "e3")
MAX_EJECTED = 1
BLOCKS = tuple(f"b{number}" for number in range(6))

names = st.sampled_from(NAMES)
blocks = st.lists(st.sampled_from(BLOCKS), unique=True, max_size=4).map(tuple)


class RoutingMachine(RuleBasedStateMachine):
    """Compares routing with a model of each endpoint and its cache."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.state = empty_routing(7)
        self.usable = dict.fromkeys(NAMES, True)
        self.leaving = dict.fromkeys(NAMES, False)
        self.reports = dict.fromkeys(NAMES, 0)
        self.own: dict[str, str] = {}
        self.runs = 0
        self.events = dict.fromkeys(NAMES, 0)
        self.caches: dict[str, set[str]] = {name: set() for name in NAMES}
        self.update_endpoints()

    def update_endpoints(self) -> None:
        self.state = set_endpoints(
            self.state,
            tuple(
                Candidate(name, "shared", "ab"[number % 2], ("m",), self.usable[name])
                for number, name in enumerate(NAMES)
            ),
            self.now,
        )

    @rule(name=names, usable=st.booleans())
    def change_usable(self, name: str, usable: bool) -> None:
        self.usable[name] = usable
        self.update_endpoints()

    @rule(name=names, running=st.integers(0, 40), leaving=st.booleans())
    def report(self, name: str, running: int, leaving: bool) -> None:
        self.reports[name] += 1
        self.leaving[name] = leaving
        report = LoadReport(
            name,
            Incarnation(f"{name}#1"),
            self.reports[name],
            running,
            0,
            8,
            leaving,
            10.0,
        )
        self.state = on_load_report(self.state, report, self.now)

    @rule(name=names, running=st.integers(0, 40))
    def repeat_old_report(self, name: str, running: int) -> None:
        if self.reports[name] < 2:
            return
        report = LoadReport(
            name,
            Incarnation(f"{name}#1"),
            self.reports[name] - 1,
            running,
            0,
            8,
            not self.leaving[name],
            10.0,
        )
        self.state = on_load_report(self.state, report, self.now)

    @rule(exclude=st.frozensets(names, max_size=4), request_blocks=blocks)
    def choose(self, exclude: frozenset[str], request_blocks: tuple[str, ...]) -> None:
        request = RoutingRequest("shared", "m", "a", request_blocks, 100, exclude)
        self.state, outcome = choose(self.state, request, self.now)
        eligible = {
            name
            for name in NAMES
            if self.usable[name] and not self.leaving[name] and name not in exclude
        }
        if isinstance(outcome, NoEndpoint):
            assert not eligible
            assert outcome.retry_after_ms > 0
            return
        assert outcome.endpoint in eligible
        healthy = {name for name in eligible if not self.is_ejected(name)}
        assert outcome.endpoint in healthy or not healthy
        assert 0 <= outcome.uncached <= request.tokens
        self.dispatch(outcome)

    def dispatch(self, choice: Choice) -> None:
        run = f"run{self.runs}"
        self.runs += 1
        self.own[run] = choice.endpoint
        self.state = on_dispatch(
            self.state, choice.endpoint, run, self.now, choice.uncached
        )

    @rule(
        data=st.data(),
        ok=st.sampled_from([False, False, True]),
        latency=st.floats(0.01, 5),
    )
    def finish(self, data: Any, ok: bool, latency: float) -> None:
        if not self.own:
            return
        run = data.draw(st.sampled_from(sorted(self.own)))
        endpoint = self.own.pop(run)
        self.state = on_finish(self.state, endpoint, run, ok, latency, self.now)

    @rule(
        name=names,
        stored=blocks,
        evicted=blocks,
        lost=st.sampled_from([False] * 4 + [True]),
    )
    def change_cache(
        self, name: str, stored: tuple[str, ...], evicted: tuple[str, ...], lost: bool
    ) -> None:
        self.events[name] += 1
        self.caches[name] -= set(evicted)
        self.caches[name] |= set(stored)
        if not lost:
            event = CacheEvent(name, self.events[name], stored, evicted)
            self.state = on_cache_event(self.state, event, self.now)

    @rule()
    def resync(self) -> None:
        for name in endpoints_to_resync(self.state):
            self.state = on_cache_snapshot(
                self.state, name, self.events[name], sorted(self.caches[name])
            )

    @rule(seconds=st.floats(0.01, 20))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def ejected_share_is_bounded(self) -> None:
        assert sum(map(self.is_ejected, NAMES)) <= MAX_EJECTED

    @invariant()
    def own_runs_are_counted(self) -> None:
        counted = {
            run: name
            for name, endpoint in self.state.endpoints.items()
            for run in endpoint.own
        }
        assert counted == self.own

    @invariant()
    def a_complete_map_matches_the_cache(self) -> None:
        for name, endpoint in self.state.endpoints.items():
            prefix = endpoint.prefix
            complete = prefix.next_sequence == self.events[name] + 1
            if complete and not prefix.needs_resync:
                assert set(prefix.stored) == self.caches[name]

    def is_ejected(self, name: str) -> bool:
        return is_ejected(self.state.endpoints[name].health, self.now)


TestRouting = RoutingMachine.TestCase
TestRouting.settings = settings(
    max_examples=2_000 if FUZZ else 50,
    stateful_step_count=80 if FUZZ else 40,
    derandomize=not FUZZ,
    deadline=None,
)
