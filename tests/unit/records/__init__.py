"""Tests of clementinebend_records."""
