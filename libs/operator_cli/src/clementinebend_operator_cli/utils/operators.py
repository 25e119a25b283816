"""From settings to an operator at work, for as long as a command runs."""

from collections.abc import Awaitable, Callable, Iterator
from os import environ
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from clementinebend_declarations.plain_values import is_utf8_encodable
from clementinebend_operator_cli.exceptions import CommandError, invalid_input
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome
from clementinebend_operator_cli.models.settings import OperatorSettings
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.settings import load_settings

SETTINGS_VARIABLE = "CLEMENTINEBEND_SETTINGS"
DEFAULT_SETTINGS_PATH = "clementinebend.yaml"
CLIENT_NAME = "operator"
MAX_SHARDS = 4096
MAX_TIMEOUT = 3600.0
"""Seconds."""

Action = Callable[[Operator], Awaitable[Outcome]]


async def with_operator(settings_path: str, author: str, action: Action) -> Outcome:
    """Run ``action`` with the settings at a path, or why they cannot be used."""
    loaded = read_settings(settings_path)
    if loaded.is_error():
        return Error(loaded.error)
    settings = loaded.ok
    http = HttpClient()
    operator = Operator(
        settings=settings,
        author=author or settings.author,
        log=http_log_client(settings.log_url, http, CLIENT_NAME),
        http=http,
    )
    try:
        return await action(operator)
    finally:
        await http.close()


def read_settings(settings_path: str) -> Result[OperatorSettings, CommandError]:
    """Return the settings at a path, the environment's, or the default one."""
    path = settings_path or environ.get(SETTINGS_VARIABLE) or DEFAULT_SETTINGS_PATH
    loaded = load_settings(path, OperatorSettings)
    if loaded.is_error():
        hint = "`clementinebend init` writes a file to start from"
        return Error(invalid_input(f"{loaded.error}\n{hint}"))
    faults = tuple(_faults(loaded.ok))
    if faults:
        message = "\n".join(f"{path}: {fault}" for fault in faults)
        return Error(invalid_input(message))
    return Ok(loaded.ok)


def require_author(operator: Operator) -> CommandError | None:
    """Return the error of a change that nobody signs."""
    if not operator.author:
        message = "no author: give --author, or set author in the settings"
        return invalid_input(message)
    if not is_utf8_encodable(operator.author):
        return invalid_input("the author in the settings is not UTF-8")
    return None


def _faults(settings: OperatorSettings) -> Iterator[str]:
    urls = {"log_url": settings.log_url} | {
        f"entries.{index}": url for index, url in enumerate(settings.entries)
    }
    for key, url in urls.items():
        if not _is_base_url(url):
            yield f"{key} is {url!r}; allowed: a URL such as http://127.0.0.1:8080"
    shards = (settings.ledger_shards, settings.claims_shards)
    for key, count in zip(("ledger_shards", "claims_shards"), shards, strict=True):
        if not 1 <= count <= MAX_SHARDS:
            yield f"{key} is {count}; allowed: a whole number from 1 to {MAX_SHARDS}"
    patience = settings.log_timeout_s
    if not 0 < patience <= MAX_TIMEOUT:
        yield f"log_timeout_s is {patience}; allowed: above 0, to {MAX_TIMEOUT}"


def _is_base_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        has_address = bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
    is_clean = url.isascii() and url.isprintable() and " " not in url
    return parts.scheme == "http" and has_address and is_clean
