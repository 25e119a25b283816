"""Exit codes, so that a script can tell the outcomes apart."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the command line ends with."""

    OK = 0
    FAILURE = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    LOG_UNREACHABLE = 4
    INTERRUPTED = 130
