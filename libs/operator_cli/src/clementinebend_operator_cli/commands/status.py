"""``clementinebend status``: what each entry says of itself."""

from asyncio import gather
from datetime import UTC, datetime
from typing import NamedTuple

from expression import Error, Ok
from prometheus_client.parser import text_string_to_metric_families

from clementinebend_declarations.replay import configuration_of
from clementinebend_operator_cli.exceptions import invalid_input
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.following import read_stream
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.output import table
from clementinebend_operator_cli.utils.publishing import IN_FORCE
from clementinebend_operator_cli.utils.replicas import configuration_replica
from clementinebend_transport.http_client import HttpClient

STATUS_OK = 200
TIMEOUT = 5.0
"""Seconds that an entry may take to answer."""

REVISION_METRIC = "clementinebend_entry_revision"
UNKNOWN = "?"


class EntryStatus(NamedTuple):
    """What one entry answered; ``revision`` is None if it did not.

    ``age_s`` is the time since that revision was published, by the clock of
    its author; None if the log does not tell.
    """

    entry: str
    ready: bool
    revision: int | None
    message: str
    age_s: int | None = None


class LogStatus(NamedTuple):
    """The newest revision on the log, and when each recent one was published.

    ``revision`` is None if the log could not be read, and ``message`` says why.
    """

    revision: int | None
    published_at: dict[int, str]
    message: str = ""


async def status(*, settings: str = "") -> Outcome:
    """Ask each entry whether it is ready and which revision it has in force.

    Exits with 1 unless all are ready with the newest revision on the log.

    Args:
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    return await with_operator(settings, "", ask_entries)


async def ask_entries(operator: Operator) -> Outcome:
    """Ask all entries at once."""
    urls = operator.settings.entries
    if not urls:
        return Error(invalid_input("no entries: list their URLs in the settings"))
    asked = (_ask(operator.http, url.rstrip("/")) for url in urls)
    log, statuses = await gather(_ask_log(operator), gather(*asked))
    now = datetime.now(UTC)
    aged = [
        status._replace(age_s=_age(log, status.revision, now)) for status in statuses
    ]
    return Ok(_report(log, aged))


async def _ask_log(operator: Operator) -> LogStatus:
    read = await read_stream(operator, configuration_replica())
    if read.is_error():
        return LogStatus(None, {}, read.error.message)
    state = read.ok.state
    published_at = {
        entry.revision: entry.published_at
        for entry in state.audit
        if entry.result in IN_FORCE
    }
    return LogStatus(configuration_of(state).revision, published_at)


def _age(log: LogStatus, revision: int | None, now: datetime) -> int | None:
    """Return the seconds since a revision was published, None if not known."""
    if revision is None or revision not in log.published_at:
        return None
    try:
        published = datetime.fromisoformat(log.published_at[revision])
        return round((now - published).total_seconds())
    except (TypeError, ValueError):
        return None


async def _ask(http: HttpClient, url: str) -> EntryStatus:
    ready = await http.request("GET", f"{url}/readyz", timeout=TIMEOUT)
    if ready.is_error():
        return EntryStatus(url, False, None, ready.error.message)
    is_ready = ready.ok.status == STATUS_OK
    message = "" if is_ready else _short(ready.ok.body)
    metrics = await http.request("GET", f"{url}/metrics", timeout=TIMEOUT)
    if metrics.is_error():
        return EntryStatus(url, is_ready, None, metrics.error.message)
    values = _metric_values(metrics.ok.body)
    revision = values.get(REVISION_METRIC)
    return EntryStatus(
        entry=url,
        ready=is_ready,
        revision=None if revision is None else int(revision),
        message=message,
    )


def _metric_values(page: bytes) -> dict[str, float]:
    """Return the metrics without labels; none of a page that is no metrics."""
    try:
        families = list(text_string_to_metric_families(page.decode()))
    except ValueError:
        return {}
    return {
        sample.name: sample.value
        for family in families
        for sample in family.samples
        if not sample.labels
    }


def _report(log: LogStatus, statuses: list[EntryStatus]) -> Report:
    head = ("entry", "ready", "revision", "age s", "message")
    rows = [
        (
            status.entry,
            "yes" if status.ready else "no",
            UNKNOWN if status.revision is None else status.revision,
            UNKNOWN if status.age_s is None else status.age_s,
            status.message,
        )
        for status in statuses
    ]
    newest = f"newest revision on the log: {log.revision}"
    first = log.message if log.revision is None else newest
    data = {
        "log": {"revision": log.revision, "message": log.message},
        "entries": [status._asdict() for status in statuses],
    }
    return Report((first, *table(head, rows)), data, _code(log, statuses))


def _code(log: LogStatus, statuses: list[EntryStatus]) -> ExitCode:
    are_ready = all(status.ready for status in statuses)
    revisions = {status.revision for status in statuses}
    is_newest = log.revision is not None and revisions == {log.revision}
    return ExitCode.OK if are_ready and is_newest else ExitCode.FAILURE


def _short(body: bytes) -> str:
    return " ".join(body.decode(errors="replace").split())[:100]
