"""``clementinebend status``: what each entry says of itself."""

from asyncio import gather
from typing import Any, NamedTuple

from expression import Error, Ok
from prometheus_client.parser import text_string_to_metric_families

from clementinebend_operator_cli.exceptions import invalid_input
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.output import table
from clementinebend_transport.http_client import HttpClient

STATUS_OK = 200
TIMEOUT = 5.0
"""Seconds that an entry may take to answer."""

REVISION_METRIC = "clementinebend_entry_revision"
AGE_METRIC = "clementinebend_entry_revision_age_seconds"
UNKNOWN = "?"


class EntryStatus(NamedTuple):
    """What one entry answered; ``revision`` and ``age_s`` None if it did not."""

    entry: str
    ready: bool
    revision: int | None
    age_s: float | None
    message: str


async def status(*, settings: str = "") -> Outcome:
    """Ask each entry whether it is ready and which revision it has in force.

    Exits with 1 unless all are ready with one revision.

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
    return Ok(_report(await gather(*asked)))


async def _ask(http: HttpClient, url: str) -> EntryStatus:
    ready = await http.request("GET", f"{url}/readyz", timeout=TIMEOUT)
    if ready.is_error():
        return EntryStatus(url, False, None, None, ready.error.message)
    is_ready = ready.ok.status == STATUS_OK
    message = "" if is_ready else _short(ready.ok.body)
    metrics = await http.request("GET", f"{url}/metrics", timeout=TIMEOUT)
    if metrics.is_error():
        return EntryStatus(url, is_ready, None, None, metrics.error.message)
    values = _metric_values(metrics.ok.body)
    revision = values.get(REVISION_METRIC)
    return EntryStatus(
        entry=url,
        ready=is_ready,
        revision=None if revision is None else int(revision),
        age_s=values.get(AGE_METRIC),
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


def _report(statuses: list[EntryStatus]) -> Report:
    head = ("entry", "ready", "revision", "age s", "message")
    rows = [
        (
            status.entry,
            "yes" if status.ready else "no",
            UNKNOWN if status.revision is None else status.revision,
            UNKNOWN if status.age_s is None else round(status.age_s),
            status.message,
        )
        for status in statuses
    ]
    data: list[dict[str, Any]] = [status._asdict() for status in statuses]
    return Report(table(head, rows), data, _code(statuses))


def _code(statuses: list[EntryStatus]) -> ExitCode:
    revisions = {status.revision for status in statuses}
    are_ready = all(status.ready for status in statuses)
    is_one = len(revisions) == 1 and None not in revisions
    return ExitCode.OK if are_ready and is_one else ExitCode.FAILURE


def _short(body: bytes) -> str:
    return " ".join(body.decode(errors="replace").split())[:100]
