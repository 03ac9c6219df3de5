"""Loading of configurations from documents and Python scripts."""

from __future__ import annotations

import contextlib
import runpy
import sys
import traceback
from collections.abc import Iterator
from pathlib import Path

from hickorywind.configuration.model import Configuration
from hickorywind.configuration.printing import parse_document
from hickorywind.results import ResultCode, UserError
from hickorywind.settings.load import read_text

SCRIPT_VARIABLE = "configuration"


def read_document(path: Path) -> Configuration:
    """Read a configuration document; raise ``UserError`` that names the file and the key."""
    try:
        return parse_document(read_text(path))
    except UserError as error:
        if str(error).startswith(str(path)):
            raise
        raise UserError(error.code, f"{path}: {error}") from None


def run_script(path: Path) -> Configuration:
    """Run a configuration script in this process and return its ``configuration``.

    Standard output of the script goes to the error stream. Raise ``UserError`` for any failure of
    the script, with the line number.
    """
    if not path.is_file():
        raise UserError(ResultCode.CONFIG_INVALID, f"{path}: no such file")
    try:
        with _import_path(path.parent), contextlib.redirect_stdout(sys.stderr):
            script_globals = runpy.run_path(str(path))
    except UserError as error:
        raise UserError(error.code, f"{path}: {error}") from None
    except (Exception, SystemExit) as error:
        raise UserError(ResultCode.CONFIG_INVALID, _describe(path, error)) from None
    configuration = script_globals.get(SCRIPT_VARIABLE)
    if not isinstance(configuration, Configuration):
        raise UserError(
            ResultCode.CONFIG_INVALID,
            f"{path}: expected a variable {SCRIPT_VARIABLE!r} that holds a Configuration",
        )
    return configuration


@contextlib.contextmanager
def _import_path(directory: Path) -> Iterator[None]:
    previous_path = sys.path[:]
    sys.path.insert(0, str(directory.resolve()))
    try:
        yield
    finally:
        sys.path[:] = previous_path


def _describe(path: Path, error: BaseException) -> str:
    if isinstance(error, SyntaxError) and error.filename == str(path):
        return f"{path}: line {error.lineno}: {error.msg}"
    frames = traceback.extract_tb(error.__traceback__)
    lines = [frame.lineno for frame in frames if frame.filename == str(path)]
    where = f" line {lines[-1]}:" if lines else ""
    return f"{path}:{where} {type(error).__name__}: {error}"
