"""What is judged: a request, or a part of prompts, whatever else the request holds.

A request is known by its fingerprint, a part by its name behind a prefix.
"""

from functools import lru_cache
from re import compile as pattern

from clementinebend_records.identifiers import KEY_DIGEST_BYTES, digest_of

PART_PREFIX = "part-"
DIGEST_PREFIX = f"{PART_PREFIX}~"
"""Precedes the digest of a part's name that is too long, or has other characters."""

FINGERPRINT = pattern(f"[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}")
PART_NAME = pattern("[0-9A-Za-z_.]{1,32}")
PART_SUBJECT = pattern(
    f"{PART_PREFIX}(~[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}|{PART_NAME.pattern})"
)

MAX_CACHED_SUBJECTS = 4_000
"""Number of parts whose subjects are kept instead of computed for each call."""


@lru_cache(MAX_CACHED_SUBJECTS)
def part_subject(name: str) -> str:
    """Return the subject of a part of a prompt."""
    if PART_NAME.fullmatch(name):
        return f"{PART_PREFIX}{name}"
    return f"{DIGEST_PREFIX}{digest_of(name.encode())}"


def is_part(subject: str) -> bool:
    """Return whether a subject is a part of prompts."""
    return subject.startswith(PART_PREFIX)


def is_valid_subject(subject: str) -> bool:
    """Return whether a subject that another process names has the form of one."""
    valid = PART_SUBJECT if is_part(subject) else FINGERPRINT
    return valid.fullmatch(subject) is not None
