"""The last gate before an endpoint: pure decisions, without socket or clock."""
