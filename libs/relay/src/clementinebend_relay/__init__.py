"""The direct path of a request: admission, dispatch, relay, settlement."""
