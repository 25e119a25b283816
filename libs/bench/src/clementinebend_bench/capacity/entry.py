"""What an entry spends on control."""

from clementinebend_bench.capacity.sources import (
    BYTES_A_SECOND,
    CORE,
    LATER_BILL_BYTES,
    LATER_HEARTBEATS,
    LATER_PEERS,
    LATER_REPORT_SECONDS,
    MEGABYTES,
    PLANS_A_SECOND,
    SMALL_DOCUMENT,
    Sources,
)
from clementinebend_bench.capacity.tables import Item, Table

SUBSETS = "subsets of 5 endpoints for each model"
SUMS = "ledger shards with sums, bills in streams that holders do not read"
HOMES = "one home holder for each budget and zone, by rendezvous hashing"
PARTNERS = "heartbeats to the 8 partners only, one each 2 s"
HOST_CHANGES = "changes of the list only, from one entry of the zone"


def entry_tables(sources: Sources) -> tuple[Table, ...]:
    """Return processor time, memory and messages of one entry."""
    limits = sources.target
    return (
        Table("Entry: processor time", CORE, limits.cpu, _cpu(sources)),
        Table("Entry: memory", MEGABYTES, limits.memory, _memory(sources)),
        Table("Entry: messages", BYTES_A_SECOND, limits.bytes, _bytes(sources)),
    )


def _cpu(sources: Sources) -> tuple[Item, ...]:
    target, each = sources.target, sources.each
    link, bill = each("entry: cpu by links"), each("entry: cpu by bills")
    change = sources.slopes.lines["change: seconds by budgets declared"]
    plan = each("plan: seconds by budgets in use")
    look = each("look-up: seconds by budgets declared")
    return (
        Item("idle process", 1, sources.alone("entry: cpu by links"), "one event loop"),
        Item(
            "links to sidecars",
            sources.links,
            link,
            "a load report each second",
            SUBSETS,
            sources.later_links * link,
        ),
        Item(
            "heartbeats of peers",
            sources.heartbeats,
            each("entry: cpu by peers"),
            "at most 20 a second to all peers together",
            PARTNERS,
            LATER_HEARTBEATS * each("entry: cpu by peers"),
        ),
        Item(
            "hosts listed",
            target.hosts,
            each("entry: cpu by hosts"),
            "the platform's list, read each 2 s",
            HOST_CHANGES,
            0.0,
        ),
        Item(
            "budgets declared: missing top-ups",
            target.budgets,
            each("entry: cpu by budgets"),
            "a look at each, twice a second",
            "looks at what has changed only",
            0.0,
        ),
        Item(
            "budgets in use: planning",
            target.budgets,
            plan * PLANS_A_SECOND,
            "a plan for each, 4 times a second",
            "plans for budgets with a request since the last one",
            target.node_requests * plan,
        ),
        Item(
            "requests: finding the budget",
            target.node_requests,
            look * target.budgets,
            "an index of each team's budgets",
            "none",
            target.node_requests * look * target.budgets,
        ),
        Item(
            "configuration changes",
            target.changes,
            change.at(target.budgets),
            "deltas; each node checks and digests the whole document",
            "digests by section, and checks of what has changed",
            target.changes * change.at(SMALL_DOCUMENT),
        ),
        Item(
            "bills of other entries",
            target.requests,
            bill,
            "replay of all ledger shards",
            SUMS,
            sources.sums * bill,
        ),
    )


def _memory(sources: Sources) -> tuple[Item, ...]:
    target, each = sources.target, sources.each
    link, peer = each("entry: resident by links"), each("entry: resident by peers")
    budget = each("entry: resident by budgets")
    document = each("configuration: bytes by budgets")
    return (
        Item(
            "idle process",
            1,
            sources.alone("entry: resident by links"),
            "the interpreter and the libraries",
        ),
        Item(
            "links to sidecars",
            sources.links,
            link,
            "one stream each",
            SUBSETS,
            sources.later_links * link,
        ),
        Item(
            "links to peers",
            target.entries - 1,
            peer,
            "two streams to each peer",
            f"streams to {LATER_PEERS} peers, others on demand",
            LATER_PEERS * peer,
        ),
        Item(
            "hosts listed",
            target.hosts,
            each("entry: resident by hosts"),
            "the view of all hosts",
        ),
        Item(
            "budgets declared and topped up",
            target.budgets,
            budget,
            "declarations and ledger state of all budgets",
            f"{HOMES}; all others kept encoded",
            target.home_budgets * budget + target.budgets * document,
        ),
    )


def _bytes(sources: Sources) -> tuple[Item, ...]:
    target, each = sources.target, sources.each
    link, bill = each("entry: bytes by links"), each("log: bytes by bills")
    return (
        Item(
            "idle process",
            1,
            sources.alone("entry: bytes by links"),
            "reads of three streams that wait 2 s",
        ),
        Item(
            "load reports",
            sources.links,
            link,
            "one a second from each sidecar",
            f"{SUBSETS}, a report each {LATER_REPORT_SECONDS:.0f} s",
            sources.later_links * link / LATER_REPORT_SECONDS,
        ),
        Item(
            "heartbeats of peers",
            sources.heartbeats,
            each("entry: bytes by peers"),
            "at most 20 a second to all peers together",
            PARTNERS,
            LATER_HEARTBEATS * each("entry: bytes by peers"),
        ),
        Item(
            "hosts listed",
            target.hosts,
            each("entry: bytes by hosts"),
            "the platform's list, read each 2 s",
            HOST_CHANGES,
            _host_changes(sources),
        ),
        Item(
            "configuration changes",
            target.changes,
            each("entry: bytes by changes"),
            "publication of deltas",
        ),
        Item(
            "own bills written",
            target.node_requests,
            bill,
            "group commit",
            f"bills of {LATER_BILL_BYTES:.0f} bytes: a short digest and an amount",
            target.node_requests * LATER_BILL_BYTES,
        ),
        Item(
            "bills of other entries",
            target.requests,
            each("entry: bytes by bills"),
            "replay of all ledger shards",
            SUMS,
            sources.sums * bill,
        ),
    )


def _host_changes(sources: Sources) -> float:
    """Return bytes a second if each change of the list comes once.

    A host listed costs its line every 2 s; a change costs two lines.
    """
    line = sources.each("entry: bytes by hosts") * 2.0
    return sources.target.hosts_changed_a_day / 86_400 * 2.0 * line
