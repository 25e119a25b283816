"""Small models in virtual time: engines, traces, routing policies."""
