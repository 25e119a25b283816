"""Counts of tokens as callers and operators name them."""

from re import ASCII
from re import compile as compile_pattern

MAX_TOKENS = 2**48
"""Largest number of tokens of a prompt or an output; a larger number means this one.

Sums of such counts over all calls of an entry, and their rates per second, fit the
64-bit integers of messages and records.
"""

MAX_BUDGET = MAX_TOKENS - 1
"""Largest prepaid budget in tokens: no call that names ``MAX_TOKENS`` fits into it."""

DIGITS = compile_pattern(r"[0-9]+", ASCII)
MAX_DIGITS = len(str(MAX_TOKENS))


def parse_token_count(text: str) -> int:
    """Return the number of tokens in ``text``, ``MAX_TOKENS`` at most.

    Raises ``ValueError`` if the text is not a decimal number without a sign.
    """
    digits = text.strip()
    if not DIGITS.fullmatch(digits):
        raise ValueError(f"not a number of tokens: {text[:MAX_DIGITS]!r}")
    significant = digits.lstrip("0") or "0"
    if len(significant) > MAX_DIGITS:
        return MAX_TOKENS
    return min(MAX_TOKENS, int(significant))
