"""The bench's models: engines, traces, and the same run from the same seed."""

from json import loads
from pathlib import Path

import pytest

from clementinebend_bench.commands import run as run_command
from clementinebend_bench.models.deployments import CONSORTIUM, DEPLOYMENTS, Deployment
from clementinebend_bench.models.engine import (
    BATCH_COST,
    BLOCK_TOKENS,
    EngineSize,
    Job,
    end,
    new_engine,
    submit,
)
from clementinebend_bench.models.outage import simulate_fault
from clementinebend_bench.models.outage_entries import fleet_entry
from clementinebend_bench.models.outage_world import Fault
from clementinebend_bench.models.policies import fleet_routing, round_robin
from clementinebend_bench.models.simulation import simulate
from clementinebend_bench.models.traces import engine_seconds, make_trace
from clementinebend_bench.rows import Row, percentile

SIZE = EngineSize(slots=1, step=0.01, tokens_per_step=256, cache_blocks=8)


def job(run: str, *blocks: str) -> Job:
    return Job(run, blocks, len(blocks) * BLOCK_TOKENS, 10)


def test_engine_computes_only_what_is_not_cached() -> None:
    engine = new_engine("e", "a", "shared", SIZE)
    engine, first = submit(engine, job("r1", "x", "y", "z", "v"), 0.0)
    assert first is not None
    step = 0.01 * (1 + BATCH_COST)
    assert first.first_token_at == pytest.approx(0.01 + step)
    engine, waits = submit(engine, job("r2", "x", "y", "z", "w"), 0.0)
    assert waits is None
    engine, second = end(engine, "r1", 1.0)
    assert second is not None
    assert second.cached == 3 * BLOCK_TOKENS
    assert second.first_token_at == pytest.approx(1.0025 + step)


def test_engine_evicts_the_blocks_used_longest_ago() -> None:
    engine = new_engine("e", "a", "shared", SIZE._replace(slots=9))
    engine, _ = submit(engine, job("r1", *"abcd"), 0.0)
    engine, _ = submit(engine, job("r2", *"efgh"), 0.0)
    engine, _ = submit(engine, job("r3", "a", "i"), 0.0)
    assert engine.evicted == ["b"]
    assert list(engine.cache) == [*"cdefghai"]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("load", [0.5, 0.95])
def test_trace_has_the_stated_mean_load(deployment: Deployment, load: float) -> None:
    seconds = 300.0
    trace = make_trace(deployment, load, seconds, 3, cached_share=0.6)
    engines = sum(pool.engines for pool in deployment.pools)
    capacity = engines / engine_seconds(deployment.size, 0.6) * seconds
    assert len(trace) / capacity == pytest.approx(load, rel=0.03)
    assert [one.time for one in trace] == sorted(one.time for one in trace)


def test_same_seed_gives_the_same_run_and_every_request_is_measured() -> None:
    trace = make_trace(CONSORTIUM, 0.4, 15.0, 5)
    first = simulate(CONSORTIUM, trace, fleet_routing, 5)
    assert first == simulate(CONSORTIUM, trace, fleet_routing, 5)
    assert {one.request.request for one in first} == {one.request for one in trace}
    assert len(simulate(CONSORTIUM, trace, round_robin, 5)) == len(trace)


def test_without_a_fault_every_request_is_sent_once_and_answered() -> None:
    trace = make_trace(CONSORTIUM, 0.4, 10.0, 5)
    never = Fault(1_000.0, 1_001.0, CONSORTIUM.zones, entries_lost=False)
    world = simulate_fault(CONSORTIUM, trace, never, fleet_entry, False, 5, 60.0)
    assert world.good == {one.request for one in trace}
    assert len(world.dispatches) == len(trace)


def test_percentile_is_by_nearest_rank() -> None:
    values = [float(number) for number in range(1, 101)]
    assert (percentile(values, 95), percentile(values, 50)) == (95.0, 50.0)
    assert percentile([7.0], 95) == 7.0


def test_run_writes_rows_and_plot_and_reports_unmet_bars(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    rows = (Row("slow", 2.0, "s", "naive", 1.0, 2.0, "< 1.0 of it", False),)
    monkeypatch.setattr(run_command, "EXPERIMENTS", {"fake": lambda seed: rows})
    assert run_command.run(seed=9, build=str(tmp_path)) == 0
    document = loads((tmp_path / "bench.json").read_text())
    assert document["seed"] == 9
    assert document["rows"][0]["met"] is False
    assert (tmp_path / "fake.png").stat().st_size > 0
    assert "NOT MET" in capsys.readouterr().out


def test_run_refuses_an_unknown_experiment(capsys: pytest.CaptureFixture[str]) -> None:
    assert run_command.run(only="nothing") == run_command.UNKNOWN_EXPERIMENT
    assert "unknown experiment 'nothing'" in capsys.readouterr().err
