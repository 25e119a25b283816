"""What a command works with: settings, the log, and who signs."""

from typing import NamedTuple

from clementinebend_operator_cli.models.settings import OperatorSettings
from clementinebend_platform_client.log_client import LogClient
from clementinebend_transport.http_client import HttpClient


class Operator(NamedTuple):
    """An operator at work; ``author`` signs the changes, empty if nobody does."""

    settings: OperatorSettings
    author: str
    log: LogClient
    http: HttpClient
