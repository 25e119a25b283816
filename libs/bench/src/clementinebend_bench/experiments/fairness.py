"""Fairness: ten equal members of the Consortium, one of them greedy.

Nine members ask for about a tenth of the capacity each, the tenth for five
times its share. Several entries admit alone, each with its part of the
slots. A member's loss is what it was not served of its fair share: of the
smaller of what it asked for and a tenth, counted window by window.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import count, product
from random import Random
from typing import NamedTuple

from clementinebend_admission.queue import Arrival, empty_admission
from clementinebend_bench.models.door import Door, drop_overdue, enter, fifo, leave
from clementinebend_bench.models.timeline import Timeline, events_until, schedule
from clementinebend_bench.models.traces import (
    OUTPUT_LIMIT,
    arrival_times,
    output_length,
)
from clementinebend_bench.parallel import map_cases
from clementinebend_bench.rows import Row, ratio_of

SECONDS = 300.0
MEMBERS = 10
ENTRIES = 3
SLOTS_PER_ENTRY = 64
QUEUE_LIMIT = 512
PATIENCE = 10.0
"""Seconds a request may wait."""

GREEDY_DEMAND = 5.0
"""Demand of the greedy member, as a multiple of a tenth of the capacity."""

PROMPT_TOKENS = (500, 3500)
PREFILL_TOKENS_PER_SECOND = 25_600
STEP = 0.0132

WINDOW = 10.0
"""Seconds over which a fair share is counted."""

EXPIRE_SECONDS = 0.25
MAX_LOSS = 0.05
"""Largest share of its fair share that a member may lose."""

GREEDY = "member0"


class Work(NamedTuple):
    """A request with its true cost in tokens and seconds of a slot."""

    arrival: Arrival
    entry: int
    time: float
    tokens: int
    seconds: float


class Enter(NamedTuple):
    """A request reaches its entry."""

    work: Work


class End(NamedTuple):
    """A request is done."""

    work: Work


class Expire(NamedTuple):
    """Time to refuse what is overdue."""

    entry: int


class Scenario(NamedTuple):
    """Demand of the nine, as a multiple of a tenth of the capacity."""

    name: str
    demand: float
    bursts: bool


SCENARIOS = (
    Scenario("steady", 0.9, False),
    Scenario("bursts", 0.9, True),
    Scenario("all above their share", 1.2, False),
)


class Case(NamedTuple):
    """One simulation."""

    scenario: Scenario
    fair: bool
    seed: int


class Result(NamedTuple):
    """Greatest and mean loss of the nine, and the use of the capacity."""

    worst_loss: float
    mean_loss: float
    used: float


def run(seed: int) -> tuple[Row, ...]:
    """Return the losses under virtual token counters, with FIFO beside them."""
    cases = [Case(*pair, seed) for pair in product(SCENARIOS, (True, False))]
    results = dict(zip(cases, map_cases(run_case, cases), strict=True))
    return tuple(
        row
        for scenario in SCENARIOS
        for row in _rows(
            scenario.name,
            results[Case(scenario, True, seed)],
            results[Case(scenario, False, seed)],
        )
    )


def run_case(case: Case) -> Result:
    """Return the losses in one simulation."""
    works = make_works(case.scenario, case.seed)
    by_request = {work.arrival.request: work for work in works}
    doors: dict[int, Door] = {entry: _door(case.fair) for entry in range(ENTRIES)}
    timeline: Timeline[Enter | End | Expire] = Timeline([], count())
    for work in works:
        schedule(timeline, work.time, Enter(work))
    for entry in doors:
        schedule(timeline, 0.0, Expire(entry))
    served: list[tuple[float, Work]] = []
    for now, event in events_until(timeline, SECONDS):
        match event:
            case Enter(work):
                doors[work.entry], started = enter(doors[work.entry], work.arrival, now)
            case End(work):
                served.append((now, work))
                doors[work.entry], started = leave(
                    doors[work.entry], work.arrival.request, work.tokens, now
                )
            case Expire(entry):
                doors[entry], _ = drop_overdue(doors[entry], now)
                schedule(timeline, now + EXPIRE_SECONDS, event)
                started = ()
        for request in started:
            begun = by_request[request]
            schedule(timeline, now + begun.seconds, End(begun))
    return _result(works, served)


def make_works(scenario: Scenario, seed: int) -> tuple[Work, ...]:
    """Return the demand of all members in order of time."""
    mean_seconds, _ = _means()
    share = ENTRIES * SLOTS_PER_ENTRY / mean_seconds / MEMBERS
    works = [
        work
        for number in range(MEMBERS)
        for work in _member_works(
            f"member{number}",
            share * (scenario.demand if number else GREEDY_DEMAND),
            scenario.bursts,
            seed,
        )
    ]
    return tuple(sorted(works, key=lambda work: work.time))


def _member_works(member: str, rate: float, bursts: bool, seed: int) -> Iterator[Work]:
    random = Random(f"{seed}/{member}")
    for number, time in enumerate(arrival_times(rate, SECONDS, random, bursts)):
        prompt, output = _lengths(random)
        arrival = Arrival(
            f"{member}/{number}", member, 1.0, 0, prompt + OUTPUT_LIMIT, time + PATIENCE
        )
        seconds = _slot_seconds(prompt, output)
        entry = random.randrange(ENTRIES)
        yield Work(arrival, entry, time, prompt + output, seconds)


def _lengths(random: Random) -> tuple[int, int]:
    return random.randint(*PROMPT_TOKENS), output_length(random)


def _slot_seconds(prompt: int, output: int) -> float:
    return prompt / PREFILL_TOKENS_PER_SECOND + output * STEP


def _means() -> tuple[float, float]:
    """Return the mean seconds and tokens of a request."""
    random = Random(0)
    lengths = [_lengths(random) for _ in range(20_000)]
    seconds = sum(_slot_seconds(*pair) for pair in lengths) / len(lengths)
    return seconds, sum(map(sum, lengths)) / len(lengths)


def _door(fair: bool) -> Door:
    if fair:
        return empty_admission(SLOTS_PER_ENTRY, queue_limit=QUEUE_LIMIT)
    return fifo(SLOTS_PER_ENTRY, QUEUE_LIMIT)


def _result(works: tuple[Work, ...], served: list[tuple[float, Work]]) -> Result:
    mean_seconds, mean_tokens = _means()
    capacity = ENTRIES * SLOTS_PER_ENTRY / mean_seconds * mean_tokens
    asked = _window_tokens(works)
    got = _window_tokens(work for _, work in served)
    losses = [
        _loss(asked[member], got[member], capacity / MEMBERS * WINDOW)
        for member in asked
        if member != GREEDY
    ]
    used = sum(work.seconds for _, work in served) / (
        ENTRIES * SLOTS_PER_ENTRY * SECONDS
    )
    return Result(max(losses), sum(losses) / len(losses), used)


def _window_tokens(works: Iterable[Work]) -> dict[str, dict[int, int]]:
    """Return the tokens of each member's requests by window of arrival.

    The last windows are left out: their requests may end after the run.
    """
    tokens: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
    for work in works:
        if work.time < SECONDS - 2 * PATIENCE:
            tokens[work.arrival.team][int(work.time / WINDOW)] += work.tokens
    return tokens


def _loss(asked: dict[int, int], got: dict[int, int], window_share: float) -> float:
    """Return the part of a member's fair share that it did not get.

    More than the fair share in one window makes up for nothing in another.
    """
    fair = {
        window: min(float(tokens), window_share) for window, tokens in asked.items()
    }
    missed = (max(0.0, tokens - got[window]) for window, tokens in fair.items())
    return sum(missed) / sum(fair.values())


def _rows(name: str, fair: Result, plain: Result) -> tuple[Row, ...]:
    bar = f"<= {MAX_LOSS:.0%}"
    met = fair.worst_loss <= MAX_LOSS
    return (
        Row(
            f"{name}: greatest loss of an equal member",
            fair.worst_loss,
            "share",
            "FIFO",
            plain.worst_loss,
            ratio_of(fair.worst_loss, plain.worst_loss),
            bar,
            met,
        ),
        Row(
            f"{name}: mean loss of equal members",
            fair.mean_loss,
            "share",
            "FIFO",
            plain.mean_loss,
            ratio_of(fair.mean_loss, plain.mean_loss),
        ),
        Row(
            f"{name}: slots used",
            fair.used,
            "share",
            "FIFO",
            plain.used,
            ratio_of(fair.used, plain.used),
        ),
    )
