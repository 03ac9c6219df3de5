"""Decide which process is responsible for what, without any communication."""
