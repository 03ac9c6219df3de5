"""Offer the command-line tool ``hickorywind``."""

from __future__ import annotations


def main() -> int:
    """Run the tool with the process's arguments and return its exit code."""
    from hickorywind.ui.program import run

    return run()
