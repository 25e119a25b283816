"""Settings of one sidecar process, read from a YAML file.

Durations end in ``_s`` (seconds) and sizes in ``_bytes``.
``clementinebend_transport.settings`` reads and checks the file.
"""

from typing import NamedTuple

from clementinebend_declarations.models import ServiceKind
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_transport.logs import LogLevel


class SidecarSettings(NamedTuple):
    """All that a sidecar is told when it starts.

    ``name`` is the endpoint's name in the declarations. ``host`` and ``port``
    are the side of the entries (message streams), ``http_host`` and
    ``http_port`` that of operators (health, metrics, ``POST /drain``); port 0
    takes a free one. ``slots`` runs execute at a time and ``queue_bound`` more
    may wait. Answers are kept for ``answer_retention_s`` after their end, in
    ``answer_retention_bytes`` altogether. With ``fenced`` the engine itself
    refuses orders that carry an old fencing number. ``order_port`` is bound
    for as long as the process lives, 0 for none: the slot's next process
    waits for it before it orders the engine. ``weights_url`` may be empty:
    then models are loaded without asking the weight store.
    """

    name: str
    zone: str
    endpoint_url: str
    log_url: str = ""
    kind: ServiceKind = ServiceKind.MODEL
    host: str = "127.0.0.1"
    port: int = 0
    http_host: str = "127.0.0.1"
    http_port: int = 0
    slots: int = 32
    queue_bound: int = 256
    schema_version: int = SCHEMA_VERSION
    drain_timeout_s: float = 30.0
    answer_retention_s: float = 120.0
    answer_retention_bytes: int = 16_777_216
    fenced: bool = False
    order_port: int = 0
    weights_url: str = ""
    log_level: LogLevel = LogLevel.INFO
