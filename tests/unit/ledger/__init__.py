"""Tests of the ledger library."""
