"""What makes two calls the same request."""

from clementinebend_records.identifiers import digest_of
from clementinebend_relay.models import Call

SEPARATOR = "\0"
"""Stands in no method, host, target or name of a team."""


def fingerprint_of(call: Call, team: str) -> str:
    """Return what a request has in common with its repetitions, in hexadecimal.

    That is its method, host, target, team and body: ids, time limits and other
    headers are new each time.
    """
    head = SEPARATOR.join((call.method, call.host, call.target, team, ""))
    return digest_of(head.encode() + call.body)
