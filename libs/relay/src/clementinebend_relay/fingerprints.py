"""What makes two calls the same request."""

from hashlib import blake2b

from clementinebend_relay.models import Call

FINGERPRINT_BYTES = 12
"""Two different requests among a million have the same one in one of 10^17 cases."""


def fingerprint_of(call: Call, team: str) -> str:
    """Return what a request has in common with its repetitions, in hexadecimal.

    That is its method, host, target, team and body: ids, time limits and other
    headers are new each time.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (call.method, call.host, call.target, team):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.hexdigest()
