"""The console script of the entry."""
