"""Upper bound on the token cost of a request, computed before dispatch."""


def upper_bound(prompt_bytes: int, token_limit: int) -> int:
    """Return the number of tokens to reserve for a request.

    A prompt has at most one token per byte, and the engine enforces the limit
    on generated tokens.
    """
    return prompt_bytes + token_limit
