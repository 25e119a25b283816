"""Relay of requests to endpoints: admission, dispatch, streaming, settlement."""
