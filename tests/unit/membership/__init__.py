"""Tests of clementinebend_membership."""
