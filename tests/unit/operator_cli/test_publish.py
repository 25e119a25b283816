"""Publishing: races, a log that fails, and top-ups logged once."""

from functools import partial
from typing import Any

import pytest
from expression import Ok, Result

from clementinebend_declarations.documents import diff_documents
from clementinebend_declarations.models import EndpointState
from clementinebend_declarations.replay import (
    configuration_checkpoint,
    configuration_of,
)
from clementinebend_declarations.state import (
    AuditResult,
    ConfigurationState,
    document_of,
)
from clementinebend_ledger.replay import budget_summary
from clementinebend_operator_cli.commands.activate import activate
from clementinebend_operator_cli.commands.drain import drain_endpoint
from clementinebend_operator_cli.commands.publish import publish_declared
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.report import Outcome
from clementinebend_operator_cli.utils.publishing import (
    Edit,
    activate_schema,
    publish_edit,
)
from clementinebend_records.records import TopUp
from clementinebend_records.streams import CONFIGURATION_STREAM, ledger_stream
from tests.lib.fake_log import FakeLog
from tests.unit.declarations.samples import document, publication
from tests.unit.operator_cli.desk import (
    IMPATIENT,
    SHARDS,
    configuration,
    declared,
    ledger,
    operator_on,
    put,
)

BUDGET = "kosice-lookups"


async def publish(log: FakeLog, changed: dict[str, Any], **options: Any) -> Outcome:
    base = options.pop("base", None)
    async with operator_on(log, **options) as operator:
        return await publish_declared(operator, declared(changed), base, "4f2a")


def code_of(outcome: Result[Any, Any]) -> ExitCode:
    code = outcome.error.code if outcome.is_error() else outcome.ok.code
    assert isinstance(code, ExitCode)
    return code


async def test_of_two_operators_on_one_base_the_second_sees_a_conflict() -> None:
    log = FakeLog()
    await publish(log, document())
    other = document() | {"limits": {"max_body_bytes": 1}}

    def edit_while_other_publishes(state: ConfigurationState) -> Any:
        put(log, CONFIGURATION_STREAM, publication(state, other, author="milan"))
        ours = document()
        ours["teams"]["levoca"] = {"key_digests": []}
        return Ok(Edit(diff_documents(document_of(state), ours)))

    async with operator_on(log) as operator:
        outcome = await publish_edit(operator, edit_while_other_publishes)
    assert code_of(outcome) is ExitCode.CONFLICT
    assert "made from revision 1, and revision 2 is in force" in outcome.error.message
    assert "milan: limits.max_body_bytes" in outcome.error.message
    assert document_of(configuration(log)) == other


async def test_old_base_is_a_conflict_before_anything_is_sent() -> None:
    log = FakeLog()
    await publish(log, document())
    appended = len(log.batches(CONFIGURATION_STREAM))
    outcome = await publish(log, document() | {"limits": {}}, base=0)
    assert code_of(outcome) is ExitCode.CONFLICT
    assert "revision 1, " in outcome.error.message
    assert len(log.batches(CONFIGURATION_STREAM)) == appended


async def test_lost_answers_publish_once() -> None:
    log = FakeLog()
    await log.set(lose_answers=3, throttle=1)
    outcome = await publish(log, document())
    assert code_of(outcome) is ExitCode.OK
    results = [entry.result for entry in configuration(log).audit]
    assert results == [AuditResult.PUBLISHED]
    assert budget_summary(ledger(log, BUDGET), BUDGET).topped_up == 5_000


async def test_log_that_cannot_be_read_is_told() -> None:
    log = FakeLog()
    await log.set(outage=True)
    outcome = await publish(log, document(), patience=IMPATIENT)
    assert code_of(outcome) is ExitCode.LOG_UNREACHABLE
    assert "could not be read" in outcome.error.message


@pytest.mark.parametrize(
    ("fault", "expected"),
    [("outage", "Nothing was changed"), ("deaf", "may still come into force")],
)
async def test_log_that_fails_after_reading_is_told_honestly(
    fault: str, expected: str
) -> None:
    log = FakeLog()

    def edit(state: ConfigurationState) -> Any:
        setattr(log, fault, True)
        return Ok(Edit(diff_documents(document_of(state), document())))

    async with operator_on(log, patience=IMPATIENT) as operator:
        outcome = await publish_edit(operator, edit)
    assert code_of(outcome) is ExitCode.LOG_UNREACHABLE
    assert expected in outcome.error.message
    assert bool(log.batches(CONFIGURATION_STREAM)) is (fault == "deaf")


async def test_top_ups_missed_by_an_earlier_command_are_logged_by_the_next() -> None:
    log = FakeLog()
    state = configuration(log)
    put(log, CONFIGURATION_STREAM, publication(state, document()))
    first = await publish(log, document())
    assert [record["top_up"] for record in first.ok.data["top_ups"]] == ["q4"]
    again = await publish(log, document())
    assert again.ok.data["top_ups"] == []
    assert configuration_of(configuration(log)).revision == 1
    assert budget_summary(ledger(log, BUDGET), BUDGET).topped_up == 5_000


async def test_top_up_that_the_ledger_has_with_another_amount_is_told() -> None:
    log = FakeLog()
    stream = ledger_stream(BUDGET, SHARDS)
    put(log, stream, TopUp(BUDGET, "q4", 9, "milan"))
    outcome = await publish(log, document())
    assert code_of(outcome) is ExitCode.FAILURE
    assert "has the top-up 'q4'" in outcome.error.message
    assert "revision 1 is in force" in outcome.error.message


async def test_top_up_in_force_cannot_change() -> None:
    log = FakeLog()
    await publish(log, document())
    changed = document()
    changed["budgets"][BUDGET]["top_ups"][0]["tokens"] = 6_000
    outcome = await publish(log, changed)
    assert code_of(outcome) is ExitCode.INVALID_INPUT
    assert "may neither change nor go" in outcome.error.message
    assert document_of(configuration(log)) == document()


async def test_second_schema_needs_its_activation() -> None:
    log = FakeLog()
    refused = await publish(log, document(2))
    assert code_of(refused) is ExitCode.INVALID_INPUT
    assert "`clementinebend activate 2`" in refused.error.message
    async with operator_on(log) as operator:
        assert code_of(await activate_schema(operator, 2, base=7)) is ExitCode.CONFLICT
        activated = await activate_schema(operator, 2)
        assert activated.ok.configuration.activated_schema == 2
        again = await activate_schema(operator, 2)
        assert again.ok.configuration.revision == 1
    assert code_of(await publish(log, document(2))) is ExitCode.OK
    assert code_of(await activate("3")) is ExitCode.INVALID_INPUT


async def test_change_that_nobody_signs_is_refused() -> None:
    outcome = await publish(FakeLog(), document(), author="")
    assert code_of(outcome) is ExitCode.INVALID_INPUT
    assert "--author" in outcome.error.message


async def test_trimmed_stream_is_read_from_its_checkpoint_or_refused() -> None:
    log = FakeLog()
    await publish(log, document())
    checkpoint = configuration_checkpoint(configuration(log))
    await log.trim(CONFIGURATION_STREAM, 1)
    outcome = await publish(log, document())
    assert code_of(outcome) is ExitCode.FAILURE
    assert "no checkpoint covers it" in outcome.error.message
    put(log, CONFIGURATION_STREAM, checkpoint)
    outcome = await publish(log, document() | {"limits": {}})
    assert outcome.ok.data["revision"] == 2


@pytest.mark.parametrize("version", [1, 2])
async def test_drain_and_its_undo_in_both_schemas(version: int) -> None:
    log = FakeLog()
    async with operator_on(log) as operator:
        if version == 2:
            await activate_schema(operator, version)
        await publish(log, document(version))
        run = partial(drain_endpoint, operator)
        endpoints = []
        for state in ("leaving", "leaving", "serving"):
            outcome = await run(endpoint="engine-1", wanted=EndpointState(state))
            assert code_of(outcome) is ExitCode.OK
            in_force = configuration_of(configuration(log))
            endpoint = in_force.declarations.endpoints["engine-1"]
            endpoints.append((str(endpoint.state), in_force.revision - version))
        assert endpoints == [("leaving", 1), ("leaving", 1), ("serving", 2)]
        unknown = await run(endpoint="engine-9", wanted=EndpointState("leaving"))
    assert code_of(unknown) is ExitCode.INVALID_INPUT
    assert "declared are: engine-1" in unknown.error.message
