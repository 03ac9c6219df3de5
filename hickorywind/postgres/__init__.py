"""Adapt the PostgreSQL v3 protocol codec to whole-frame relaying."""
