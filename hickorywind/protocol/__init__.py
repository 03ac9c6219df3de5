"""Carry typed messages between hickorywind's own processes."""
