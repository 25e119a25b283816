"""Reasons for not running a request, and outcomes of requests for callers."""

from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request was not run. Such requests are never billed."""

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
    """The four outcomes of a well-formed request, as reported to the caller."""

    WHOLE = "whole_answer"
    NOT_RUN = "not_run"
    FAILED = "ran_and_failed"
    UNKNOWN = "outcome_unknown"
