"""Prints a table of the outcomes of scenarios in which endpoints end.

Usage: python -m tests.unit.relay.crash_table [--entries 3 30] [--seeds 1 2 3]
[--loss 0] [--max-delay 0.003] [--filter REGEX] [--merge REGEX] [--jobs 1]
[--no-gateways]
"""

from argparse import ArgumentParser, Namespace
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from re import search, sub
from statistics import mean
from sys import stdout
from time import monotonic
from typing import NamedTuple

from tests.unit.relay.crash_grid import all_scenarios
from tests.unit.relay.crash_scenarios import (
    RunResult,
    Scenario,
    Setting,
    Tally,
    run_scenario,
)
from tests.unit.relay.entry_world import MAX_DELAY

COLUMNS = (
    "scenario",
    "entries",
    "loss",
    "runs",
    "ended by fatal: mean (max)",
    "late runs: max",
    "fatal quarantined at the end",
    "ended in all",
    "harmless sent",
    "whole %",
    "not whole",
    "sent after last end",
    "whole % after",
    "not whole after",
    "falsely quarantined: runs, mean s, at the end",
    "longest hold s",
    "datagrams",
    "appends",
)


class Row(NamedTuple):
    """Scenarios that share a row, the fleet they run in, and the seeds of each."""

    name: str
    scenarios: tuple[Scenario, ...]
    setting: Setting
    seeds: tuple[int, ...]


def main() -> None:
    """Run the chosen scenarios and print a row for each."""
    arguments = _arguments()
    rows = list(_rows(arguments))
    _print(f"| {' | '.join(COLUMNS)} |")
    _print(f"|{' --- |' * len(COLUMNS)}")
    start = monotonic()
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for line in pool.map(_line, rows):
            _print(line)
    runs = sum(len(row.seeds) * len(row.scenarios) for row in rows)
    _print(f"\n{runs} runs in {monotonic() - start:.0f} s")


def _print(line: str) -> None:
    stdout.write(f"{line}\n")
    stdout.flush()


def _arguments() -> Namespace:
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[3, 30])
    parser.add_argument("--endpoints", type=int, default=9)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0])
    parser.add_argument("--max-delay", type=float, default=MAX_DELAY)
    parser.add_argument("--filter", default="", help="regular expression of names")
    parser.add_argument(
        "--merge",
        default="$",
        help="what to leave out of names; those that are then the same share a row",
    )
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--no-gateways", action="store_true")
    return parser.parse_args()


def _rows(arguments: Namespace) -> Iterator[Row]:
    merged: defaultdict[str, list[Scenario]] = defaultdict(list)
    for each in all_scenarios():
        if search(arguments.filter, each.name):
            merged[sub(arguments.merge, "", each.name)].append(each)
    for name, entries, loss in product(merged, arguments.entries, arguments.loss):
        has_gateways = not arguments.no_gateways
        setting = Setting(
            entries, arguments.endpoints, loss, arguments.max_delay, has_gateways
        )
        yield Row(name, tuple(merged[name]), setting, tuple(arguments.seeds))


def _line(row: Row) -> str:
    setting = row.setting
    results = [
        run_scenario(scenario, setting, number)
        for scenario, number in product(row.scenarios, row.seeds)
    ]
    is_any_fatal = any(each.fatal_work.fatal_way for each in row.scenarios)
    cells = (row.name, setting.entries, setting.loss, len(results))
    return f"| {' | '.join(map(str, (*cells, *_cells(is_any_fatal, results))))} |"


def _cells(is_any_fatal: bool, results: list[RunResult]) -> Iterator[str]:
    if is_any_fatal:
        ends = [each.fatal_ends for each in results]
        yield f"{mean(ends):.1f} ({max(ends)})"
        yield str(max(each.late_runs for each in results))
        kept = sum(each.is_fatal_quarantined for each in results)
        yield f"{kept}/{len(results)}"
    else:
        yield from ("", "", "")
    yield f"{mean(each.ends for each in results):.1f}"
    yield from _tally_cells([each.harmless for each in results])
    yield from _tally_cells([each.after_ends for each in results])
    yield _quarantined(results)
    yield f"{max(each.harmless.longest_hold for each in results):.2f}"
    yield f"{mean(each.datagrams for each in results):.0f}"
    yield f"{mean(each.appends for each in results):.1f}"


def _quarantined(results: list[RunResult]) -> str:
    seconds = [each.quarantined_seconds for each in results]
    hit = sum(each > 0.0 for each in seconds)
    if not hit:
        return "0"
    at_end = sum(each.is_quarantined for each in results)
    return f"{hit}/{len(results)}, {sum(seconds) / hit:.1f} s, {at_end}"


def _tally_cells(tallies: list[Tally]) -> Iterator[str]:
    sent = sum(each.sent for each in tallies)
    whole = sum(each.whole for each in tallies)
    yield str(sent)
    yield f"{100 * whole / sent:.1f}" if sent else ""
    yield ", ".join(_failures(tallies))


def _failures(tallies: Iterable[Tally]) -> Iterator[str]:
    """Return the number of calls for each failure, with the mean Retry-After."""
    counts: Counter[str] = Counter()
    pauses: defaultdict[str, float] = defaultdict(float)
    for tally in tallies:
        counts["cut"] += tally.cut
        counts["cut at the time limit"] += tally.late
        counts.update(tally.rejected)
        for name, pause in tally.retry_after.items():
            pauses[name] += pause * tally.rejected[name]
    for failure, number in counts.most_common():
        if number:
            pause = pauses.get(failure, 0.0) / number
            yield f"{number} {failure}{f' ({pause:.2f} s)' if pause else ''}"


if __name__ == "__main__":
    main()
