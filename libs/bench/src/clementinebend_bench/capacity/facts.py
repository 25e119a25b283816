"""Figures of the capacity page that no limit of the letter is set for."""

from math import exp
from typing import NamedTuple

from clementinebend_bench.capacity.sources import LATER_GRANT_SECONDS, Sources
from clementinebend_bench.capacity.tables import number
from clementinebend_ledger.state import BILL_WINDOW
from clementinebend_platform_client.writer_core import WriterSettings

READ_SECONDS = 2.0
ENTRY_STREAMS = 3
SIDECAR_STREAMS = 2


class Fact(NamedTuple):
    """One figure: how it is worked out, and what it means."""

    what: str
    figure: str
    formula: str
    meaning: str


def data_plane_facts(sources: Sources) -> tuple[Fact, ...]:
    """Return what the data plane needs; it is no control."""
    path, target = sources.path, sources.target
    entry = target.node_requests * path.entry.request
    entry += target.node_tokens * path.entry.token
    engine_requests = target.requests / target.engines
    engine_tokens = target.tokens / target.engines
    sidecar = engine_requests * path.sidecar.request
    sidecar += engine_tokens * path.sidecar.token
    return (
        Fact(
            "entry: tokens/s of one core, one token a piece",
            number(path.entry_tokens_per_core),
            "tokens / processor seconds at full load, 250 tokens a request",
            f"a bare relay: {number(path.relay_tokens_per_core)}",
        ),
        Fact(
            "entry: cores for its share",
            number(entry),
            f"{number(target.node_requests)} requests/s x "
            f"{path.entry.request * 1e6:,.0f} µs + {number(target.node_tokens)} "
            f"tokens/s x {path.entry.token * 1e6:,.0f} µs",
            "does NOT fit one process, which has one core: it needs several "
            "entries on a host, or larger pieces (tokens of several steps in one)",
        ),
        Fact(
            "sidecar: cores for its share",
            number(sidecar),
            f"{number(engine_requests)} requests/s x "
            f"{path.sidecar.request * 1e6:,.0f} µs + {number(engine_tokens)} "
            f"tokens/s x {path.sidecar.token * 1e6:,.0f} µs",
            "fits one process" if sidecar < 1 else "does NOT fit one process",
        ),
        Fact(
            "fleet: cores of entries and sidecars",
            number(entry * target.entries + sidecar * target.engines),
            "entry x 370 + sidecar x 3,400",
            "whoever plans the hosts reckons with these",
        ),
    )


def control_facts(sources: Sources) -> tuple[Fact, ...]:
    """Return state, windows and rates beside the tables."""
    return (*_log_facts(sources), *_state_facts(sources), *_operator_facts(sources))


def _log_facts(sources: Sources) -> tuple[Fact, ...]:
    target = sources.target
    bill = sources.each("log: bytes by bills")
    written = target.requests * bill
    reads = target.entries * ENTRY_STREAMS + target.engines * SIDECAR_STREAMS
    return (
        Fact(
            "log: bills written",
            f"{written / 1e6:.3g} MB/s",
            f"{number(target.requests)} bills/s x {bill:.0f} bytes",
            "group commits carry it; no reader of 4 KB/s can",
        ),
        Fact(
            "log: bills read",
            f"{written * target.entries / 1e6:,.0f} MB/s",
            f"bills written x {target.entries} entries that replay all shards",
            "does NOT fit: two kinds of stream, so that holders read sums",
        ),
        Fact(
            "log: reads that wait",
            f"{reads / READ_SECONDS:,.0f} reads/s",
            f"({target.entries} x {ENTRY_STREAMS} + {target.engines} x "
            f"{SIDECAR_STREAMS} streams) / {READ_SECONDS:.0f} s, one shard of a kind",
            "the letter sets no limit for reads; not measured on the real log",
        ),
    )


def _state_facts(sources: Sources) -> tuple[Fact, ...]:
    target, each = sources.target, sources.each
    by_budget = each("checkpoint: bytes by budgets")
    window = BILL_WINDOW * each("checkpoint: bytes by bills")
    checkpoint = target.budgets * by_budget + window
    limit = WriterSettings().post_bytes
    share = target.tokens / target.budgets / target.zones * LATER_GRANT_SECONDS
    return (
        Fact(
            "ledger: time for which a billed key is remembered",
            f"{BILL_WINDOW / target.requests:.2g} s",
            f"{number(BILL_WINDOW)} keys a shard / {number(target.requests)} bills/s, "
            "one shard",
            "does NOT fit: a retry after that, which no pointer leads to the first "
            "run, is billed again; 120 s, as long as sidecars keep answers, need "
            f"{120 * target.requests / BILL_WINDOW:,.0f} shards or a window of that "
            "length",
        ),
        Fact(
            "ledger: checkpoint of one shard",
            f"{checkpoint / 1e6:.3g} MB",
            f"{number(target.budgets)} budgets x {by_budget:.0f} bytes + "
            f"{number(BILL_WINDOW)} bills x {each('checkpoint: bytes by bills'):.0f}",
            f"a post may have {limit / 1e6:.3g} MB: "
            + ("fits" if checkpoint <= limit else "does NOT fit")
            + f"; one shard breaks at {(limit - window) / by_budget:,.0f} budgets, "
            "grants and holders not counted",
        ),
        Fact(
            "ledger: replay of one bill",
            f"{each('replay: seconds by bills') * 1e6:.2g} µs",
            "slope of decoding and replaying group commits of 60 bills",
            "a cold start replays what no checkpoint covers",
        ),
        Fact(
            "ledger: tokens held ready for a budget, once sums replace bills",
            number(share * target.zones),
            f"{number(target.tokens)} tokens/s / {number(target.budgets)} budgets x "
            f"{number(LATER_GRANT_SECONDS)} s that a grant then lasts",
            "the price of 4 KB/s: so many tokens of an even budget are granted ahead",
        ),
    )


def _operator_facts(sources: Sources) -> tuple[Fact, ...]:
    target = sources.target
    busy = sources.slopes.lines["operator: cpu by budgets"].at(target.budgets)
    conflict = 1 - exp(-busy * target.changes)
    return (
        Fact(
            "operators' command: processor time",
            f"{busy:.2g} s",
            "line of `clementinebend audit` at the budgets declared",
            "mostly replay of the first, whole publication",
        ),
        Fact(
            "operators' command: publications that meet another",
            f"{conflict:.0%}",
            "1 - exp(-processor time x changes/s)",
            "does NOT fit: such a share tries again, though the changes do not touch; "
            "it needs bases by section",
        ),
        Fact(
            "configuration: replay of one change on a node",
            f"{_change(sources) * 1e3:,.0f} ms",
            "line of one change at the budgets declared",
            "in force within 9 s as far as replay goes; the log's delay is not "
            "measured at this size",
        ),
    )


def _change(sources: Sources) -> float:
    line = sources.slopes.lines["change: seconds by budgets declared"]
    return line.at(sources.target.budgets)
