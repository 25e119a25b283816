"""Whether a request or a part of prompts is to blame, and who tries such a part."""

from asyncio import get_running_loop, sleep

import pytest

from clementinebend_relay.messages import QuarantineMessage
from clementinebend_relay.models import boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.trials import PART_TRIAL_DELAYS, UNTRIED_SECONDS
from clementinebend_routing.fatal_runs import CONCLUSIVE_ENDS, FatalRun
from tests.unit.relay.quarantine_world import endpoint
from tests.unit.relay.test_part_verdicts import (
    BYSTANDER,
    GAP,
    PART,
    REPEATED,
    RUN_SECONDS,
    SPREAD_SECONDS,
    PartWorld,
    is_refused,
    play,
)


def end_beside(world: PartWorld, repeated_at: float) -> None:
    """End an endpoint under a new request and one that was sent at ``repeated_at``."""
    ended = endpoint(next(world.numbers))
    now = get_running_loop().time()
    new = FatalRun(boot_name(ended), now - RUN_SECONDS, now)
    repeated = new._replace(sent_at=repeated_at)
    fingerprint = f"{next(world.requests):024x}"
    runs = [EndedRun(REPEATED, repeated, (PART,)), EndedRun(fingerprint, new, (PART,))]
    world.all()[0].sync.on_ended(ended, runs)


def test_a_request_at_some_ends_delays_no_verdict_on_its_part() -> None:
    """Guards against further ends under a part of which one request is repeated."""

    async def scenario(world: PartWorld) -> None:
        for number, request in enumerate((REPEATED, REPEATED, None)):
            world.end_with((PART,), number, request)
            await sleep(GAP)
        assert all(is_refused(entry, PART) for entry in world.all())
        assert not any(is_refused(entry) for entry in world.all())

    play(scenario)


@pytest.mark.parametrize(("sequential", "ends"), [(1, 3), (2, CONCLUSIVE_ENDS)])
def test_a_part_waits_for_no_request_that_is_never_judged(
    sequential: int, ends: int
) -> None:
    """Guards against ends without number beside a request whose runs overlap."""

    async def scenario(world: PartWorld) -> None:
        sent_at = get_running_loop().time()
        for number in range(ends):
            assert not any(is_refused(entry, PART) for entry in world.all())
            if number == sequential - 1:
                sent_at = get_running_loop().time()
            await sleep(GAP)
            end_beside(world, sent_at)
        await sleep(GAP)
        assert all(is_refused(entry, PART) for entry in world.all())
        assert not any(REPEATED in each.quarantine.quarantined for each in world.all())

    play(scenario)


def test_two_requests_at_conclusive_ends_condemn_none_of_their_parts() -> None:
    """Guards against a part that is judged just before one of them."""

    async def scenario(world: PartWorld) -> None:
        for _ in range(CONCLUSIVE_ENDS):
            now = get_running_loop().time()
            ended = endpoint(next(world.numbers))
            run = FatalRun(boot_name(ended), now - RUN_SECONDS, now)
            for entry, request in zip(world.all(), (REPEATED, BYSTANDER), strict=False):
                entry.sync.on_ended(ended, [EndedRun(request, run, (PART,))])
            await sleep(GAP)
            assert not any(is_refused(entry, PART) for entry in world.all())
        await sleep(SPREAD_SECONDS)
        assert all(REPEATED in entry.quarantine.quarantined for entry in world.all())
        assert not any(is_refused(entry, PART) for entry in world.all())

    play(scenario)


def may_try(world: PartWorld, request: str) -> int:
    """Return the number of entries that try the part with a request."""
    refusals = (entry.quarantine.refusal(request, (PART,)) for entry in world.all())
    return sum(refusal is None for refusal in refusals)


def test_a_trial_of_a_part_goes_to_a_request_that_was_not_at_its_ends() -> None:
    """Guards against a trial that fails for its request, and harmless ones refused."""

    async def scenario(world: PartWorld) -> None:
        for number, request in enumerate((REPEATED, REPEATED, None)):
            world.end_with((PART,), number, request)
            await sleep(GAP)
        await sleep(PART_TRIAL_DELAYS[0])
        assert may_try(world, REPEATED) == 0
        assert may_try(world, BYSTANDER) == 1
        await sleep(UNTRIED_SECONDS)
        assert may_try(world, REPEATED) == 1

    play(scenario)


def test_the_trial_after_a_failed_one_goes_to_another_request() -> None:
    """Guards against an entry that knows no request at the ends, as it saw none."""

    async def scenario(world: PartWorld) -> None:
        told = world.all()[0].boot
        for entry in world.all():
            entry.sync.on_message(QuarantineMessage(told, PART, ("i-90/", "i-91/")))
        await sleep(PART_TRIAL_DELAYS[0] + GAP)
        assert may_try(world, REPEATED) == 1
        world.end_with((PART,), 0, REPEATED)
        await sleep(PART_TRIAL_DELAYS[1] + GAP)
        assert may_try(world, REPEATED) == 0
        assert may_try(world, BYSTANDER) == 1

    play(scenario)
