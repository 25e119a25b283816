"""Settings of the command line, read from a YAML file."""

from typing import NamedTuple


class OperatorSettings(NamedTuple):
    """Where the fleet is, and who works on it.

    ``entries`` are base URLs such as ``http://10.0.0.1:8080``. ``log_timeout_s``
    is how long the log may be silent until a command gives up, in seconds.
    """

    log_url: str
    ledger_shards: int = 1
    claims_shards: int = 1
    entries: tuple[str, ...] = ()
    author: str = ""
    log_timeout_s: float = 10.0
