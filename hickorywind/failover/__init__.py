"""Failure detection, primary election and fencing for database groups."""
