"""The parts of a prompt that other requests may share. Pure functions."""

from collections.abc import Sequence

from clementinebend_routing.sessions import PromptPart

MAX_SHARED_PARTS = 32
"""Maximum number of parts of one prompt that are considered. The deepest ones are: they
are the most specific."""

MAX_NAME_LENGTH = 64
"""Maximum length in characters of a part's name in a log line."""


def shared_parts(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the names of the parts that other requests may share, each one once.

    The last part is left out, as it belongs to the request or its session.
    """
    names = dict.fromkeys(part.name for part in parts[:-1])
    return tuple(names)[-MAX_SHARED_PARTS:]


def logged_names(names: Sequence[str]) -> list[str]:
    """Return names of parts for a log line, cut to a maximum length."""
    return [name[:MAX_NAME_LENGTH] for name in names]
