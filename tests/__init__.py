"""Tests of clementinebend."""
