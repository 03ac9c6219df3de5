"""Output of commands, as text or as JSON."""

from __future__ import annotations

import sys
from enum import Enum
from typing import Any, TextIO

import msgspec

from hickorywind.results import UserError


class OutputFormat(Enum):
    """Output format: text for people or JSON for programs."""

    TEXT = "text"
    JSON = "json"


class Console:
    """Writer of results to one stream and of warnings and errors to another."""

    def __init__(self, format_: OutputFormat, out: TextIO, err: TextIO) -> None:
        self.format = format_
        self._out = out
        self._err = err

    @classmethod
    def standard(cls, format_: OutputFormat) -> Console:
        """Return a console that writes to standard output and standard error."""
        return cls(format_, sys.stdout, sys.stderr)

    def show(self, text: str, value: Any) -> None:
        """Print ``text``, or ``value`` in JSON if that is the output format."""
        if self.format is OutputFormat.JSON:
            self._out.write(msgspec.json.encode(value, order="deterministic").decode() + "\n")
        else:
            self._out.write(text if text.endswith("\n") or not text else text + "\n")
        self._out.flush()

    def print_warning(self, text: str) -> None:
        """Print a one-line warning to the error stream."""
        self._err.write(f"hickorywind: {_one_line(text)}\n")
        self._err.flush()

    def print_error(self, error: UserError) -> None:
        """Print an error with its result code in one line to the error stream."""
        self.print_warning(f"{int(error.code)} {error}")


def _one_line(text: str) -> str:
    return " ".join(text.split())
