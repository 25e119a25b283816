"""Tests of the entry."""
