"""Commands ``report burn`` and ``report record``."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path

import msgspec

from hickorywind.configuration.model import Configuration
from hickorywind.ids import Address
from hickorywind.report.burn import compute_burn
from hickorywind.report.counting import list_objectives
from hickorywind.report.plot import draw_burn
from hickorywind.report.samples import Sample, append_samples, fetch_samples, read_samples
from hickorywind.report.table import format_rows, make_rows
from hickorywind.results import ResultCode, UserError
from hickorywind.ui.applier import read_current_or_fail
from hickorywind.ui.connections import open_store
from hickorywind.ui.console import Console
from hickorywind.ui.documents import read_document
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.options import (
    add_command,
    add_store_options,
    add_timeout_option,
    timeout_of,
    to_address,
    to_positive_int,
)

_DEFAULT_INTERVAL_SECONDS = 15
_PLOT_WINDOW_SECONDS = 3_600


class RecordOutput(msgspec.Struct, frozen=True):
    """JSON output of ``report record``."""

    rounds: int
    samples: int
    failures: int


def add_burn(commands: argparse._SubParsersAction) -> None:
    """Add ``report burn``."""
    parser = add_command(
        commands,
        "burn",
        "show how fast each objective's error budget is spent",
        "report burn --samples series.jsonl --config stepclean.yaml --plot burn.svg",
        run_burn,
    )
    parser.add_argument("--samples", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--config", type=Path, metavar="FILE", help="take objectives from here, not the store"
    )
    parser.add_argument("--plot", type=Path, metavar="FILE", help="also draw a .png or .svg")
    parser.add_argument(
        "--plot-window-s",
        type=to_positive_int,
        default=_PLOT_WINDOW_SECONDS,
        metavar="S",
        help=f"moving window of the plot (default {_PLOT_WINDOW_SECONDS})",
    )
    add_store_options(parser)


def run_burn(arguments: argparse.Namespace, console: Console) -> int:
    """Print the burn rates as a table and draw a plot if one is requested."""
    samples = read_samples(arguments.samples)
    objectives = list_objectives(_read_configuration(arguments))
    rows = make_rows(compute_burn(samples, objectives))
    if arguments.plot is not None:
        window = timedelta(seconds=arguments.plot_window_s)
        draw_burn(samples, objectives, window, arguments.plot)
    console.show(format_rows(rows), rows)
    return ExitCode.OK


def _read_configuration(arguments: argparse.Namespace) -> Configuration:
    if arguments.config is not None:
        return read_document(arguments.config)
    return asyncio.run(_read_accepted(arguments))


async def _read_accepted(arguments: argparse.Namespace) -> Configuration:
    async with open_store(arguments) as store:
        current = await read_current_or_fail(store, arguments.store_prefix)
    if current is None:
        raise UserError(ResultCode.CONFIG_INVALID, "no configuration was accepted yet")
    return current.envelope.document


def add_record(commands: argparse._SubParsersAction) -> None:
    """Add ``report record``."""
    parser = add_command(
        commands,
        "record",
        "sample the metrics of entries into a series file until interrupted",
        "report record --metrics 127.0.0.1:9100 127.0.0.1:9101 --out series.jsonl",
        run_record,
    )
    parser.add_argument("--metrics", type=to_address, nargs="+", required=True, metavar="IP:PORT")
    parser.add_argument("--out", type=Path, required=True, metavar="FILE")
    parser.add_argument(
        "--interval-s", type=to_positive_int, default=_DEFAULT_INTERVAL_SECONDS, metavar="S"
    )
    parser.add_argument("--count", type=to_positive_int, metavar="N", help="stop after N samples")
    add_timeout_option(parser)


def run_record(arguments: argparse.Namespace, console: Console) -> int:
    """Append one sample of each process per interval."""
    recording = Recording(arguments.metrics, arguments.out, timeout_of(arguments), console)
    try:
        while recording.rounds != arguments.count:
            if recording.rounds:
                time.sleep(arguments.interval_s)
            recording.take_samples()
    except KeyboardInterrupt:
        pass
    line = RecordOutput(recording.rounds, recording.samples, recording.failures)
    console.show(f"{line.samples} samples written, {line.failures} failed", line)
    return ExitCode.OK if recording.samples else ExitCode.UNAVAILABLE


class Recording:
    """Recorder of metrics samples that counts rounds, samples and failures."""

    def __init__(
        self, addresses: Sequence[Address], path: Path, timeout: timedelta, console: Console
    ) -> None:
        self._addresses = addresses
        self._path = path
        self._timeout = timeout
        self._console = console
        self.rounds = 0
        self.samples = 0
        self.failures = 0

    def take_samples(self) -> None:
        """Sample each process once; raise ``UserError`` if the file can't be written."""
        results = fetch_samples(self._addresses, time.time(), self._timeout)
        samples = [result for result in results if isinstance(result, Sample)]
        failures = [result for result in results if not isinstance(result, Sample)]
        for failure in failures:
            self._console.print_warning(f"{failure.source}: {failure.reason}")
        try:
            append_samples(self._path, samples)
        except OSError as error:
            message = f"{self._path}: {error.strerror}"
            raise UserError(ResultCode.SETTINGS_INVALID, message) from None
        self.rounds += 1
        self.samples += len(samples)
        self.failures += len(failures)
