"""Log files named on the command line."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from hickorywind.results import ResultCode, UserError


def read_lines(names: Iterable[str]) -> Iterator[str]:
    """Return the lines of files one by one; raise ``UserError`` for one that can't be read."""
    for name in names:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                for line in file:
                    yield line.rstrip("\n")
        except OSError as error:
            raise UserError(ResultCode.SETTINGS_INVALID, f"{name}: {error.strerror}") from None
