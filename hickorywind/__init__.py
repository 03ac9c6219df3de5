"""Proxy of PostgreSQL sessions to replicated database services, with session consistency."""

__version__ = "0.1.0"
