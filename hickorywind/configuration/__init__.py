"""Operators' configuration: building, validation, printing and acceptance."""
