"""Tests of the bench."""
