"""The signals that ask a process to stop, held while its program is loaded.

The default action of such a signal is to end the process at once, with callers that
wait for their connection to be accepted.

This module imports nothing but ``signal``, so that it is loaded first.
"""

from signal import SIG_BLOCK, SIG_UNBLOCK, SIGINT, SIGTERM, pthread_sigmask

STOP_SIGNALS = (SIGTERM, SIGINT)


def hold_stop_signals() -> None:
    """Hold back the stop signals of this process until they are released."""
    pthread_sigmask(SIG_BLOCK, STOP_SIGNALS)


def release_stop_signals() -> None:
    """Deliver the stop signals that were held back, and all later ones."""
    pthread_sigmask(SIG_UNBLOCK, STOP_SIGNALS)
