"""Pure admission: fairness, deadlines, retry budgets."""

__version__ = "0.1.0"
