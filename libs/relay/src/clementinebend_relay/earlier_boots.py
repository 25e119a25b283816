"""Announcements of earlier boots, written late by a writer that has been replaced."""

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.metrics import ignored_announcements
from clementinebend_relay.models import Endpoint

ANNOUNCEMENT_VALID_SECONDS = 4.0
"""Seconds after its last announcement for which a boot counts as announced.

Endpoints announce themselves about once a second, so three announcements in a row are
missing by then.
"""

LOG_INTERVAL_SECONDS = 30.0
"""Shortest time in seconds between two log lines on ignored announcements at the same
boot."""


def is_outdated(state: EndpointState, announced: Endpoint, now: float) -> bool:
    """Return whether an announcement is of a boot earlier than the known one.

    It is not outdated once the known boot is no longer announced: that one may be
    followed by a boot with an earlier time of birth, as the endpoint's clock may have
    been set back. Boots without such a time
    have no order.
    """
    known = state.endpoint.boot
    if known is None or announced.boot is None or announced.boot >= known:
        return False
    is_valid = now - state.announced_at < ANNOUNCEMENT_VALID_SECONDS
    return state.lapsed_at is None and is_valid


def on_ignored(state: EndpointState, announced: Endpoint, now: float) -> None:
    """Count an ignored announcement, and log it unless one was logged recently."""
    ignored_announcements.inc()
    state.ignored += 1
    if now - state.ignored_logged_at < LOG_INTERVAL_SECONDS:
        return
    state.ignored_logged_at = now
    log_decision(
        "earlier boot ignored",
        endpoint=announced.name,
        boot=announced.boot,
        known_boot=state.endpoint.boot,
        known_age_s=round(now - state.announced_at, 3),
        ignored=state.ignored,
    )
