"""The most that one request can cost, known before it runs."""


def upper_bound(prompt_bytes: int, token_limit: int) -> int:
    """Return the tokens to reserve for a request.

    A prompt has at most as many tokens as bytes, and the engine enforces the
    limit on the answer's tokens.
    """
    return prompt_bytes + token_limit
