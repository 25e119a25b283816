"""Counters and gauges of an entry; names start with ``clementinebend_``."""

from clementinebend_transport.metrics import counter, gauge

REQUESTS = counter(
    "clementinebend_entry_requests_total",
    "Requests answered, by outcome and reason.",
    ("outcome", "reason"),
)
TOKENS_BILLED = counter(
    "clementinebend_entry_tokens_billed_total",
    "Tokens of bills read back from the log.",
)
BILLS = counter(
    "clementinebend_entry_bills_total", "Bills read back from the log.", ("outcome",)
)
RUNS = counter(
    "clementinebend_entry_runs_total",
    "Runs dispatched to sidecars, by result.",
    ("result",),
)
RETRIES = counter(
    "clementinebend_entry_retries_total", "Further attempts at a request.", ("cause",)
)
ATTACHMENTS = counter(
    "clementinebend_entry_attachments_total",
    "Attachments to runs, by cause.",
    ("cause",),
)
GRANTS = counter(
    "clementinebend_entry_grants_total",
    "Answers of replay to grant requests.",
    ("outcome",),
)
BUDGET_REFUSALS = counter(
    "clementinebend_entry_budget_refusals_total",
    "Requests refused for want of budget.",
    ("reason",),
)
UNRESOLVED_RUNS = gauge(
    "clementinebend_entry_unresolved_runs", "Runs whose cost is not known yet."
)
HELD_BILLS = counter(
    "clementinebend_entry_held_bills_total",
    "Bills of amounts that could not be proved.",
)
RECEIPTS_SAFE = counter(
    "clementinebend_entry_receipts_safe_total",
    "Receipts made safe, by place.",
    ("place",),
)
LINKS = gauge(
    "clementinebend_entry_links", "Connections that are up, by kind.", ("kind",)
)
CLOSES = counter(
    "clementinebend_entry_closes_total",
    "Records of holder closes appended.",
    ("record",),
)
TOP_UPS_REPOSTED = counter(
    "clementinebend_entry_top_ups_reposted_total", "Declared top-ups posted again."
)
POINTERS = counter(
    "clementinebend_entry_pointers_total", "Pointer questions, by answer.", ("answer",)
)
CLAIMS = counter("clementinebend_entry_claims_total", "Claims, by result.", ("result",))
IN_PROGRESS = gauge("clementinebend_entry_requests_in_progress", "Requests held now.")
ABANDONED = counter(
    "clementinebend_entry_abandoned_total", "Requests whose caller left before the end."
)
REVISION = gauge("clementinebend_entry_revision", "Configuration revision in force.")
TRANSFERS = counter(
    "clementinebend_entry_transfers_total",
    "Questions to peers for parts of grants, by answer.",
    ("answer",),
)
