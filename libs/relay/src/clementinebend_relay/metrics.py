"""Counters, gauges and latency histograms of the relay."""

from clementinebend_transport.metrics import counter, gauge, histogram

LATENCY_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 2.0, 5.0, 15.0)
"""Upper bounds of the buckets in seconds, dense around latency targets of 0.15 to
0.6 s."""

relayed_answers = counter(
    "clementinebend_relay_answers_total",
    "Answers of endpoints relayed, by service and status.",
    ("service", "status"),
)
rejected_calls = counter(
    "clementinebend_relay_rejections_total",
    "Calls that ended without an endpoint's answer, by reason.",
    ("reason",),
)
broken_answers = counter(
    "clementinebend_relay_broken_answers_total",
    "Answers that endpoints ended before they were whole, by service.",
    ("service",),
)
resumed_streams = counter(
    "clementinebend_relay_resumed_streams_total",
    "Streams that have gone on at another endpoint, by service, by who resumed them "
    "(entry or caller) and by the version of the software there, against the one that "
    "began them (same or other).",
    ("service", "by", "software"),
)
stream_handovers = counter(
    "clementinebend_relay_stream_handovers_total",
    "Second attempts of streams whose endpoint was silent, by service and by outcome: "
    "taken over, endpoint spoke again, refused, ended, or why none was made.",
    ("service", "outcome"),
)
resumptions = counter(
    "clementinebend_relay_resumptions_total",
    "Streams that callers resumed, by service and by whether the version that began "
    "them is known (known, unknown, or version gone).",
    ("service", "outcome"),
)
ended_endpoints = counter(
    "clementinebend_relay_endpoint_ends_total",
    "Endpoints that ended while calls of this entry ran there, by service.",
    ("service",),
)
quarantined_requests = gauge(
    "clementinebend_relay_quarantined_requests",
    "Requests that are kept from endpoints because these end under them.",
)
quarantined_parts = gauge(
    "clementinebend_relay_quarantined_parts",
    "Parts of prompts that are kept from endpoints because these end under them.",
)
evacuated_zones = gauge(
    "clementinebend_relay_evacuated_zones",
    "Availability zones whose endpoints get nothing new, as operators want it.",
)
cold_endpoints = gauge(
    "clementinebend_relay_cold_endpoints",
    "Endpoints that are cold, or may be, and get few calls.",
)
ignored_announcements = counter(
    "clementinebend_relay_ignored_announcements_total",
    "Announcements of earlier boots that were ignored while a later one is announced.",
)
late_announcements = counter(
    "clementinebend_relay_late_announcements_total",
    "Announcements of endpoints that the store executed after newer ones and that were "
    "ignored.",
)
limited_endpoints = gauge(
    "clementinebend_relay_limited_endpoints",
    "Endpoints in need that name a limit of requests a second.",
)
request_permits = counter(
    "clementinebend_relay_request_permits_total",
    "Permits that this entry asked for to send a call to a limited endpoint, by "
    "outcome (granted, refused, or unanswered in time).",
    ("outcome",),
)
limited_rejections = counter(
    "clementinebend_relay_limited_rejections_total",
    "Calls rejected since all endpoints of their service are in need, by service.",
    ("service",),
)
invalid_limits = counter(
    "clementinebend_relay_invalid_limits_total",
    "Answers that name a limit which is no number, by service.",
    ("service",),
)
full_surveys = counter(
    "clementinebend_relay_full_surveys_total",
    "Times that no endpoint asked about took another call in that second, by service.",
    ("service",),
)
entry_utilization = gauge(
    "clementinebend_relay_entry_utilization",
    "Smoothed fraction of what this entry can use, by resource (loop, link, memory, "
    "descriptors).",
    ("resource",),
)
entry_overloaded = gauge(
    "clementinebend_relay_entry_overloaded",
    "Whether this entry is overloaded (1) or not (0).",
)
rotation_departures = counter(
    "clementinebend_relay_rotation_departures_total",
    "Times that this entry left the load balancer's rotation as it was overloaded.",
)
shed_calls = counter(
    "clementinebend_relay_shed_calls_total",
    "Calls rejected since this entry was overloaded while others had room, by "
    "priority.",
    ("priority",),
)
waiting_prompts = gauge(
    "clementinebend_relay_waiting_prompts",
    "Prompts that wait in this entry for an endpoint with little ahead, by service.",
    ("service",),
)
prompt_rejections = counter(
    "clementinebend_relay_prompt_rejections_total",
    "Prompts rejected since they could not start in time, by service and by when: on "
    "arrival, or after a wait.",
    ("service", "after"),
)
service_overloaded = gauge(
    "clementinebend_relay_service_overloaded",
    "Whether fewer prompts of a service start in this entry than arrive (1) or not "
    "(0), as of its last prompt.",
    ("service",),
)
preceded_checks = counter(
    "clementinebend_relay_preceded_checks_total",
    "Checks at which a prompt did not start as a prompt of another team or priority, "
    "which has precedence, waited for its endpoint at some entry.",
    ("service",),
)
held_answer_bytes = gauge(
    "clementinebend_relay_held_answer_bytes",
    "Bytes of answers that callers have not taken yet, if the memory is limited.",
)
paused_answers = counter(
    "clementinebend_relay_paused_answers_total",
    "Answers that waited at their endpoints, as too much was held for callers.",
)
disconnected_callers = counter(
    "clementinebend_relay_disconnected_callers_total",
    "Callers disconnected as they did not read their answers while others needed room.",
)
plain_choices = counter(
    "clementinebend_relay_plain_choices_total",
    "Endpoints chosen for calls without a prompt, by service and by the time expected "
    "there (usual, slow: a clear multiple of the pool's usual time, or unknown).",
    ("service", "pace"),
)
quota_appends = counter(
    "clementinebend_relay_quota_appends_total",
    "Appends of quotas to the store, by the entry's role in the partition (home or "
    "borrower) and outcome (appended, conflict or failed).",
    ("role", "outcome"),
)
first_byte_seconds = histogram(
    "clementinebend_relay_first_byte_seconds",
    "Time from a call's arrival to the first byte of its answer.",
    ("service",),
    LATENCY_BUCKETS,
)
whole_seconds = histogram(
    "clementinebend_relay_whole_seconds",
    "Time from a call's arrival to its end.",
    ("service",),
    LATENCY_BUCKETS,
)
configuration_version = gauge(
    "clementinebend_relay_configuration_version",
    "Version of the configuration in force.",
)
