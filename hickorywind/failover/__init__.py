"""Decide when a database group gets a new primary, and which one."""
