"""HTTP faces of the stand-ins; each owns its model's state."""
