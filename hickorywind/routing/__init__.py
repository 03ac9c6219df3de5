"""Decide where a request runs, when it is retried and what a session must see; no I/O."""
