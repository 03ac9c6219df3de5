"""Rows of a measurement, formatted as a text table and written as JSON."""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

OUT = Path("out")

Value = int | float | str


@dataclass(frozen=True)
class Row:
    """One measured point: its size and results by column name."""

    values: dict[str, Value]

    def cells(self, columns: Iterable[str]) -> list[str]:
        """Return the values as text, empty where a column is missing."""
        return [_format(self.values.get(column, "")) for column in columns]


def _format(value: Value) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def format_rows(rows: Iterable[Row]) -> str:
    """Return rows as an aligned text table with the union of their columns."""
    rows = list(rows)
    columns = list(dict.fromkeys(column for row in rows for column in row.values))
    lines = [columns, *(row.cells(columns) for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def write_rows(name: str, rows: Iterable[Row], folder: Path = OUT) -> Path:
    """Write ``slope-NAME.json`` with the rows and the machine's load average; return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"slope-{name}.json"
    content = {
        "slope": name,
        "load_average": os.getloadavg(),
        "processors": os.cpu_count(),
        "rows": [row.values for row in rows],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")
    return path


def slope_of(rows: Iterable[Row], size: str, value: str) -> float:
    """Return the least-squares slope of one column over another; 0 for a single size."""
    points = [(float(row.values[size]), float(row.values[value])) for row in rows]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
