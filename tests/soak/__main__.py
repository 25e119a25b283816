"""Play seeds of the soak: ``python -m tests.soak FIRST COUNT [AT_ONCE]``."""

from asyncio import Semaphore, gather, run
from pathlib import Path
from sys import argv, stdout
from tempfile import mkdtemp

from tests.soak.run import Soak


async def main(first: int, count: int, at_once: int) -> int:
    """Play ``count`` seeds; return how many broke a promise."""
    turns = Semaphore(at_once)
    results = await gather(*(play(seed, turns) for seed in range(first, first + count)))
    stdout.write(f"{count - sum(results)} passed, {sum(results)} failed\n")
    return sum(results)


async def play(seed: int, turns: Semaphore) -> bool:
    """Play one seed and tell what it broke; its logs stay if it did."""
    async with turns:
        folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(seed, folder)
        problems = await soak.run()
    served = sum(call.status == 200 for call in soak.calls)
    stdout.write(
        f"seed {seed}: {len(soak.calls)} calls, {served} served, "
        f"{len(soak.done)} faults, {len(problems)} broken; {_crashes(soak)}; "
        f"{_rotation(soak)}; "
        f"{_versions(soak)}; "
        f"{'' if soak.kept is None else soak.kept.told()}\n"
    )
    for problem in problems[:5]:
        stdout.write(f"  {problem}\n")
    if problems:
        stdout.write(f"  faults: {', '.join(soak.done)}\n  logs: {folder}\n")
    return bool(problems)


def _crashes(soak: Soak) -> str:
    if soak.crashes is None:
        return "not started"
    arrivals, ends = soak.crashes.engines.arrivals(), soak.crashes.engines.ends
    kills = 0 if soak.popular is None else soak.popular.kills
    kept = "" if soak.fleet.store.newest("quarantine") else "not "
    return (
        f"{len(ends)} engines ended, {len(arrivals)} fatal requests arrived, "
        f"{kept}kept back, {kills} kills in series, "
        f"{soak.crashes.engines.part_arrivals()} with the part arrived"
    )


def _rotation(soak: Soak) -> str:
    changes = soak.rotation_changes()
    return (
        f"entries left rotation {changes['left rotation']} times, "
        f"returned {changes['returned to rotation']} times"
    )


def _versions(soak: Soak) -> str:
    versions = soak.versions
    streams = versions.verdict()
    return (
        f"{versions.replaced} engines replaced under {streams.streams} streams, "
        f"{streams.whole} whole, {streams.mixed} mixed, "
        f"{versions.went_on()} of {versions.resumed()} resumed went on"
    )


if __name__ == "__main__":
    numbers = [int(word) for word in argv[1:]]
    raise SystemExit(min(1, run(main(*(numbers + [1, 1, 4][len(numbers) :])))))
