"""Command-line tool ``hickorywind``."""

from __future__ import annotations


def main() -> int:
    """Run the tool with the command-line arguments of the process and return its exit code."""
    from hickorywind.ui.program import run

    return run()
