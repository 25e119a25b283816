"""The pure models: log retention and rate, the engine's batching and cache."""

from itertools import takewhile

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_routing.prefix import prefix_blocks
from clementinebend_standins.models.engine import (
    EngineLimits,
    EngineState,
    Order,
    RunStatus,
    cancel,
    empty_engine,
    import_run,
    is_idle,
    resume,
    step,
    submit,
)
from clementinebend_standins.models.log import (
    Page,
    RateExceeded,
    Trimmed,
    append,
    empty_log,
    read,
    trim,
)
from clementinebend_standins.models.orders import (
    EngineOrder,
    OldFencing,
    OrdersState,
    execute_order,
)
from clementinebend_standins.models.prefix_cache import (
    BLOCK_BYTES,
    block_digests,
    changes_since,
    empty_cache,
    store_blocks,
)
from clementinebend_standins.models.text import (
    expected_text,
    prompt_tokens,
    text_between,
)

ONE_SLOT = EngineLimits(slots=1, prefill_tokens=64, cache_blocks=4)


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("append"), st.binary(max_size=3)),
            st.tuples(st.just("trim"), st.integers(0, 4)),
        )
    )
)
def test_log_offsets_never_move_and_retention_drops_only_the_oldest(
    actions: list[tuple[str, bytes | int]],
) -> None:
    log, oldest = empty_log(), 0
    written: list[bytes] = []
    for _, value in actions:
        if isinstance(value, bytes):
            log, offset = append(log, "a", value, now=0.0)
            assert offset == len(written)
            written.append(value)
        else:
            log = trim(log, value)
            oldest = max(oldest, len(written) - value) if value else oldest
        page = read(log, "a", oldest, len(written) + 1)
        expected = tuple(enumerate(written))[oldest:]
        assert page == Page(expected, len(written), oldest)
        if oldest:
            assert read(log, "a", oldest - 1, 1) == Trimmed(oldest)


def test_log_limits_appends_of_all_streams_in_any_one_second() -> None:
    log = empty_log()
    for name, now in (("a", 0.0), ("b", 0.5)):
        log, outcome = append(log, name, b"", now, appends_per_second=2)
        assert outcome == 0
    log, outcome = append(log, "a", b"", 0.9, appends_per_second=2)
    assert outcome == RateExceeded()
    log, outcome = append(log, "a", b"", 1.0, appends_per_second=2)
    assert outcome == 1


def steps_until_idle(state: EngineState) -> tuple[EngineState, list[str]]:
    """Return the state at the end, and the run of each token in order."""
    tokens = []
    while not is_idle(state):
        state, emitted = step(state, 0.0)
        tokens += [token.run for token in emitted]
    return state, tokens


@given(
    slots=st.integers(1, 3),
    sizes=st.lists(
        st.tuples(st.integers(0, 300), st.integers(1, 9), st.integers(1, 9)),
        max_size=6,
    ),
)
def test_engine_gives_each_run_exactly_its_tokens(
    slots: int, sizes: list[tuple[int, int, int]]
) -> None:
    state = empty_engine(EngineLimits(slots, 64, 4))
    for number, (prompt_bytes, limit, target) in enumerate(sizes):
        prompt = "x" * prompt_bytes
        state = submit(state, Order(str(number), prompt, limit, 0, target))
    state, tokens = steps_until_idle(state)
    for number, (_, limit, target) in enumerate(sizes):
        run = state.runs[str(number)]
        assert run.status is RunStatus.FINISHED
        assert run.generated == tokens.count(str(number)) == min(limit, target)
        assert run.prompt_used == prompt_tokens(run.order.prompt)


def test_engine_never_runs_more_than_its_slots_and_takes_urgent_runs_first() -> None:
    state = empty_engine(ONE_SLOT)
    for run, priority in (("late", 5), ("first", 0), ("second", 0), ("urgent", -1)):
        state = submit(state, Order(run, run, 2, priority))
    _, tokens = steps_until_idle(state)
    expected = ["urgent"] * 2 + ["first"] * 2 + ["second"] * 2 + ["late"] * 2
    assert tokens == expected


def test_a_run_cancelled_in_the_queue_costs_nothing_and_one_running_what_it_used() -> (
    None
):
    state = empty_engine(ONE_SLOT)
    state = submit(state, Order("running", "abcd", 9))
    state = submit(state, Order("queued", "abcd", 9))
    for _ in range(3):
        state, _ = step(state, 0.0)
    state = cancel(cancel(state, "running"), "queued")
    assert is_idle(state)
    running, queued = state.runs["running"], state.runs["queued"]
    assert (running.status, running.prompt_used, running.generated) == (
        RunStatus.CANCELLED,
        1,
        2,
    )
    assert (queued.status, queued.prompt_used, queued.generated) == (
        RunStatus.CANCELLED,
        0,
        0,
    )


def first_token_step(state: EngineState, order: Order) -> tuple[EngineState, int]:
    """Return after how many steps a run alone gives its first token."""
    state = submit(state, order)
    emitted: tuple[object, ...] = ()
    steps = 0
    while not emitted:
        state, emitted = step(state, 0.0)
        steps += 1
    return cancel(state, order.run), steps


def test_a_cached_prefix_saves_prefill_until_it_is_evicted() -> None:
    prompt, other = "p" * BLOCK_BYTES * 4, "q" * BLOCK_BYTES * 4
    state = empty_engine(ONE_SLOT._replace(prefill_tokens=16))
    state, cold = first_token_step(state, Order("cold", prompt, 1))
    state, warm = first_token_step(state, Order("warm", prompt, 1))
    state, _ = first_token_step(state, Order("other", other, 1))
    state, evicted = first_token_step(state, Order("evicted", prompt, 1))
    assert (cold, warm, evicted) == (5, 2, 5)


def test_an_exported_run_goes_on_where_it_was_without_prefill() -> None:
    order = Order("r", "p" * 400, 9, target=9)
    state = import_run(empty_engine(ONE_SLOT), order, 7)
    assert is_idle(state)
    _, tokens = steps_until_idle(resume(state, "r"))
    assert tokens == ["r", "r"]


@given(st.lists(st.text("ab", min_size=1, max_size=6), max_size=8))
def test_cache_events_replay_to_the_blocks_in_memory(prompts: list[str]) -> None:
    cache = empty_cache(3)
    for prompt in prompts:
        data = "".join(letter * BLOCK_BYTES for letter in prompt).encode()
        cache = store_blocks(cache, block_digests(data), now=0.0)
    known: set[str] = set()
    changes = changes_since(cache, 0, latest=0.0)
    for change in changes:
        known = (known | set(change.stored)) - set(change.evicted)
    assert known == set(cache.blocks)
    assert len(known) <= 3
    numbers = [change.sequence for change in changes]
    assert numbers == list(range(1, len(changes) + 1))


def test_cache_events_come_late_and_with_gaps() -> None:
    cache = empty_cache(9)
    for number in range(4):
        cache = store_blocks(cache, (str(number),), now=float(number))
    late = changes_since(cache, 0, latest=2.0)
    assert [change.sequence for change in late] == [1, 2, 3]
    gappy = changes_since(cache, 1, latest=9.0, gap=3)
    assert [change.sequence for change in gappy] == [2, 4]


@given(st.text(max_size=200), st.text(max_size=200))
def test_block_digests_agree_exactly_on_the_common_whole_blocks(
    one: str, other: str
) -> None:
    shared = "s" * BLOCK_BYTES
    first, second = (shared + one).encode(), (shared + other).encode()
    pairs = zip(block_digests(first), block_digests(second), strict=False)
    equal = len(list(takewhile(lambda pair: pair[0] == pair[1], pairs)))
    same = takewhile(lambda pair: pair[0] == pair[1], zip(first, second, strict=False))
    assert equal == len(list(same)) // BLOCK_BYTES


@given(st.binary(max_size=400))
def test_routers_name_the_blocks_as_the_engine_does(prompt: bytes) -> None:
    assert block_digests(prompt) == prefix_blocks(prompt, BLOCK_BYTES)


@given(st.text(max_size=50), st.integers(0, 30), st.integers(0, 30))
def test_text_is_the_same_however_it_is_cut(prompt: str, cut: int, rest: int) -> None:
    parts = text_between(prompt, 0, cut) + text_between(prompt, cut, cut + rest)
    assert parts == expected_text(prompt, cut + rest)
    assert prompt_tokens(prompt) <= len(prompt.encode())


def test_only_fenced_engines_refuse_an_old_fencing_number() -> None:
    newer, older = EngineOrder(5, "load", "new"), EngineOrder(4, "unload", "new")
    fenced, _ = execute_order(OrdersState(True, ("base",)), newer)
    assert execute_order(fenced, older) == (fenced, OldFencing(5))
    unfenced, _ = execute_order(OrdersState(False, ("base",)), newer)
    unfenced, problem = execute_order(unfenced, older)
    assert problem is None
    assert unfenced.models == ("base",)
    assert unfenced.fencing == 5
