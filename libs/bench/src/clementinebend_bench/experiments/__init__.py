"""Seeded experiments: each module has ``run(seed) -> tuple[Row, ...]``."""
