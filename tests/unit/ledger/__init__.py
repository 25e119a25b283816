"""Unit tests of clementinebend_ledger."""
