"""Tests of clementinebend_platform_client."""
