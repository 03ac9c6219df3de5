"""Measure how costs grow with the size of a fleet, one module for each slope."""
