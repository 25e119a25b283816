"""Settings of one entry process, read from a YAML file.

Durations end in ``_s`` (seconds) or ``_ms`` (milliseconds) and sizes in
``_bytes``. ``clementinebend_transport.settings`` reads and checks the file.
"""

from typing import NamedTuple

from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_transport.logs import LogLevel


class Peer(NamedTuple):
    """Another entry, and where it listens for message streams of its peers."""

    name: str
    zone: str
    host: str
    port: int


class EntrySettings(NamedTuple):
    """All that an entry is told when it starts.

    ``host`` and ``port`` are the callers' side (HTTP), ``peer_host`` and
    ``peer_port`` the side of other entries (message streams); port 0 takes a
    free one. ``hosts_url`` may be empty: then only direct sight counts.
    ``memory_mb`` is the memory that the process may take, in 2^20 bytes: what callers
    send is bounded by it. ``schema_version`` is the newest schema of declarations it
    may read.
    """

    name: str
    zone: str
    log_url: str
    host: str = "127.0.0.1"
    port: int = 0
    peer_host: str = "127.0.0.1"
    peer_port: int = 0
    hosts_url: str = ""
    ledger_shards: int = 1
    claims_shards: int = 1
    peers: tuple[Peer, ...] = ()
    schema_version: int = SCHEMA_VERSION
    subset_size: int = 16
    slots_per_endpoint: int = 32
    drain_timeout_s: float = 30.0
    pointer_timeout_ms: int = 100
    receipt_timeout_ms: int = 500
    suspect_after_s: float = 5.0
    log_level: LogLevel = LogLevel.INFO
    max_header_bytes: int = 16_384
    max_connections: int = 4096
    memory_mb: int = 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    idle_timeout_s: float = 60.0
    kept_pointers: int = 100_000
    kept_receipts: int = 100_000
