"""Reasons for which a request was not run, and the outcomes a caller sees."""

from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request did not run. None of these is ever billed."""

    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    HOLDER_CLOSED = "holder_closed"
    WRONG_INCARNATION = "wrong_incarnation"
    UNKNOWN_KEY = "unknown_key"
    KEY_CONFLICT = "key_conflict"
    LOG_UNAVAILABLE = "log_unavailable"
    NOT_READY = "not_ready"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class RequestOutcome(StrEnum):
    """The four answers a caller can get to a request that was well formed."""

    WHOLE = "whole_answer"
    NOT_RUN = "not_run"
    FAILED = "ran_and_failed"
    UNKNOWN = "outcome_unknown"
