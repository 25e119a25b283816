"""Fingerprints that identify repetitions of the same request."""

from clementinebend_records.identifiers import digest_of
from clementinebend_relay.models import Call

SEPARATOR = "\0"
"""Cannot occur in a method, host, target or team name."""


def fingerprint_of(call: Call, team: str) -> str:
    """Return the digest, in hexadecimal, of what identifies a request.

    It covers the method, host, target, team and body. Ids, time limits and other
    headers differ between repetitions.
    """
    head = SEPARATOR.join((call.method, call.host, call.target, team, ""))
    return digest_of(head.encode() + call.body)
