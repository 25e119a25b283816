"""Admission control without I/O: fairness, deadlines and retry budgets."""

__version__ = "0.1.0"
