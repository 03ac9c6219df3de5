"""Serve callers: connections, sessions, and the path of each request to a pool."""
