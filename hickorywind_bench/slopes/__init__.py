"""Measurements of how costs grow with the size of a fleet, one module per measurement."""
