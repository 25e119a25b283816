"""What homes of budgets have reported to this entry, and for how long it is valid."""

from collections.abc import Callable
from typing import NamedTuple

from clementinebend_relay.messages import RemainingBudget

ANSWER_TIME_REPORT_SECONDS = 2.0
"""Seconds for which a store answer time reported by a home remains valid."""


class RemainingReport(NamedTuple):
    """The remaining budget that the home reported, and when the report arrived."""

    at: float
    remaining: RemainingBudget


class AnswerTimeReport(NamedTuple):
    """A store answer time reported by a home, and when the report arrived."""

    answer_seconds: float
    at: float


class HomeReports:
    """The newest reports of homes: remaining budgets by team, and answer times."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.remaining: dict[str, RemainingReport] = {}
        self.answer_time = AnswerTimeReport(0.0, clock())

    def on_remaining(self, team: str, remaining: RemainingBudget) -> None:
        """Record the remaining budget of a team."""
        self.remaining[team] = RemainingReport(self.clock(), remaining)

    def forget_remaining(self) -> None:
        """Discard the remaining budgets: a new configuration may have raised them."""
        self.remaining.clear()

    def on_answer_seconds(self, seconds: float) -> None:
        """Record a home's store answer time, unless a longer one is still valid."""
        if seconds >= self.answer_seconds():
            self.answer_time = AnswerTimeReport(seconds, self.clock())

    def answer_seconds(self) -> float:
        """Return the store answer time reported recently, 0 without one."""
        report = self.answer_time
        is_recent = self.clock() - report.at < ANSWER_TIME_REPORT_SECONDS
        return report.answer_seconds if is_recent else 0.0
