"""What sidecars, the operators' command and the log bear, beside entries."""

from clementinebend_bench.capacity.sources import (
    APPENDS,
    BYTES_A_SECOND,
    CORE,
    LATER_APPEND_SECONDS,
    LATER_REPORT_SECONDS,
    MEGABYTES,
    SMALL_DOCUMENT,
    Sources,
)
from clementinebend_bench.capacity.tables import Item, Table

FEWER_ENTRIES = "subsets: fewer entries for each sidecar"
SECTIONS = "digests by section, and checks of what has changed"
OWN_PART = "only the part of its endpoint, by checkpoints of sections"


def sidecar_tables(sources: Sources) -> tuple[Table, ...]:
    """Return processor time, memory and messages of one sidecar."""
    target, each = sources.target, sources.each
    links, later = sources.sidecar_links, sources.later_sidecar_links
    change = sources.slopes.lines["change: seconds by budgets declared"]
    cpu, memory, sent = (
        each(f"sidecar: {figure} by links") for figure in ("cpu", "resident", "bytes")
    )
    processor = (
        Item(
            "idle process",
            1,
            sources.alone("sidecar: cpu by links"),
            "polls of its engine, 5 a second",
        ),
        Item(
            "links of entries",
            links,
            cpu,
            "a load report each second",
            FEWER_ENTRIES,
            later * cpu,
        ),
        Item(
            "configuration changes",
            target.changes,
            change.at(target.budgets),
            "deltas; each node checks and digests the whole document",
            SECTIONS,
            target.changes * change.at(SMALL_DOCUMENT),
        ),
    )
    resident = (
        Item(
            "idle process",
            1,
            sources.alone("sidecar: resident by links"),
            "the interpreter and the libraries",
        ),
        Item("links of entries", links, memory, "one stream each"),
        Item(
            "budgets declared",
            target.budgets,
            each("sidecar: resident by budgets"),
            "the declarations of all budgets",
            OWN_PART,
            0.0,
        ),
    )
    messages = (
        Item(
            "idle process",
            1,
            sources.alone("sidecar: bytes by links"),
            "reads of streams that wait 2 s",
        ),
        Item(
            "load reports",
            links,
            sent,
            "one a second to each entry",
            f"{FEWER_ENTRIES}, a report each {LATER_REPORT_SECONDS:.0f} s",
            later * sent / LATER_REPORT_SECONDS,
        ),
        Item(
            "configuration changes",
            target.changes,
            each("sidecar: bytes by changes"),
            "publication of deltas",
        ),
    )
    return (
        Table("Sidecar: processor time", CORE, target.cpu, processor),
        Table("Sidecar: memory", MEGABYTES, target.memory, resident),
        Table("Sidecar: messages", BYTES_A_SECOND, target.bytes, messages),
    )


def operator_tables(sources: Sources) -> tuple[Table, ...]:
    """Return the memory of an operators' command that reads the declarations."""
    items = (
        Item(
            "process",
            1,
            sources.alone("operator: resident by budgets"),
            "the interpreter and the libraries",
        ),
        Item(
            "budgets declared",
            sources.target.budgets,
            sources.each("operator: resident by budgets"),
            "replay of the whole configuration stream",
            "reading the sections that a command is about",
            0.0,
        ),
    )
    limit = sources.target.memory
    return (
        Table(
            "Operators' command: memory, held to a node's limit",
            MEGABYTES,
            limit,
            items,
        ),
    )


def log_tables(sources: Sources) -> tuple[Table, ...]:
    """Return the appends a second that the log has to take."""
    target, path = sources.target, sources.path
    appends = max(path.half_appends, path.full_appends)
    items = (
        Item(
            "group commits of entries",
            target.entries,
            appends,
            "one writer for each entry and shard, paced by the log's answers; as "
            "measured under load in the path experiment",
            f"one append each {LATER_APPEND_SECONDS:.0f} s from each entry, "
            "through a peer of the zone if need be",
            target.entries / LATER_APPEND_SECONDS,
        ),
        Item(
            "configuration changes",
            target.changes,
            1.0,
            "one append for each publication",
        ),
        Item(
            "sidecars that start",
            target.hosts_changed_a_day / 86_400,
            1.0,
            "a claim to the right of ordering the engine",
        ),
    )
    return (Table("The log: appends", APPENDS, target.appends, items),)
