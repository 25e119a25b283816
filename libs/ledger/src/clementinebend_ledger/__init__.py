"""Pure replay and holder decisions for budgets, bills and claims."""

__version__ = "0.1.0"
