"""The engine's text: a pure function of the prompt and the token index."""

from zlib import crc32

BYTES_PER_TOKEN = 4
WORDS = ("pharmacy", "Prešov", "open", "Žilina", "trail", "permit", "Sunday", "náměstí")
"""Some are not ASCII, so that a split in the middle of a character is noticed."""

SHORTEST_ANSWER = 8
LONGEST_ANSWER = 40


def prompt_tokens(prompt: str) -> int:
    """Return the tokens of a prompt, never more than its UTF-8 bytes."""
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def natural_length(prompt: str) -> int:
    """Return how many tokens the engine answers when no limit cuts it short."""
    span = LONGEST_ANSWER - SHORTEST_ANSWER + 1
    return SHORTEST_ANSWER + crc32(prompt.encode()) % span


def text_between(prompt: str, start: int, end: int) -> str:
    """Return the text of the tokens from ``start`` up to, not with, ``end``."""
    seed = crc32(prompt.encode())
    return "".join(_token(seed, index) for index in range(start, end))


def expected_text(prompt: str, tokens: int) -> str:
    """Return the whole answer of ``tokens`` tokens to ``prompt``."""
    return text_between(prompt, 0, tokens)


def _token(seed: int, index: int) -> str:
    word = WORDS[crc32(index.to_bytes(8), seed) % len(WORDS)]
    return f"{word}{index} "
