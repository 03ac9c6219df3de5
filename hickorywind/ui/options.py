"""Options shared by several commands, and access to their values."""

from __future__ import annotations

import argparse
import os
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from hickorywind.ids import Address
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.results import ResultCode, UserError
from hickorywind.settings.secrets import load_keys
from hickorywind.ui.console import Console, OutputFormat
from hickorywind.util.addresses import parse_address

STORE_VARIABLE = "HICKORYWIND_STORE"
STORE_PREFIX_VARIABLE = "HICKORYWIND_STORE_PREFIX"
CONTROLLER_VARIABLE = "HICKORYWIND_CONTROLLER"
KEYS_VARIABLE = "HICKORYWIND_KEYS"
_DEFAULT_PREFIX = "/hickorywind"
_DEFAULT_TIMEOUT_MS = 3_000

CommandFunction = Callable[[argparse.Namespace, Console], int]


def add_command(
    commands: argparse._SubParsersAction,
    name: str,
    summary: str,
    example: str,
    run: CommandFunction,
) -> argparse.ArgumentParser:
    """Add a subcommand whose help text ends with an example."""
    parser = commands.add_parser(
        name,
        help=summary,
        description=summary[0].upper() + summary[1:] + ".",
        epilog=f"example:\n  hickorywind {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    parser.add_argument(
        "--output",
        choices=[choice.value for choice in OutputFormat],
        default=OutputFormat.TEXT.value,
        help="text for people or json for programs",
    )
    return parser


def add_store_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the store's address and key prefix."""
    parser.add_argument(
        "--store",
        type=to_address,
        metavar="IP:PORT",
        default=os.environ.get(STORE_VARIABLE),
        help=f"the platform's store (or ${STORE_VARIABLE})",
    )
    parser.add_argument(
        "--store-prefix",
        metavar="PREFIX",
        default=os.environ.get(STORE_PREFIX_VARIABLE, _DEFAULT_PREFIX),
        help=f"prefix of keys (or ${STORE_PREFIX_VARIABLE}; default {_DEFAULT_PREFIX})",
    )
    add_timeout_option(parser)


def add_controller_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the controller's address and key file."""
    parser.add_argument(
        "--controller",
        type=to_address,
        metavar="IP:PORT",
        default=os.environ.get(CONTROLLER_VARIABLE),
        help=f"any controller (or ${CONTROLLER_VARIABLE})",
    )
    parser.add_argument(
        "--keys",
        type=Path,
        metavar="FILE",
        default=os.environ.get(KEYS_VARIABLE),
        help=f"the installation's key file (or ${KEYS_VARIABLE})",
    )
    add_timeout_option(parser)


def add_timeout_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the timeout of each request, in milliseconds."""
    parser.add_argument(
        "--timeout-ms",
        type=to_positive_int,
        metavar="MS",
        default=_DEFAULT_TIMEOUT_MS,
        help=f"time to wait for each answer (default {_DEFAULT_TIMEOUT_MS})",
    )


def to_address(text: str) -> Address:
    """Parse an address option."""
    try:
        return parse_address(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"expected IP:PORT, got {text!r}") from None


def to_positive_int(text: str) -> int:
    """Parse a positive whole number."""
    if not text.isdecimal() or int(text) == 0:
        raise argparse.ArgumentTypeError(f"expected a positive whole number, got {text!r}")
    return int(text)


def to_revision(text: str) -> int:
    """Parse a revision; 0 stands for no configuration yet."""
    if not text.isdecimal():
        raise argparse.ArgumentTypeError(f"expected a revision, got {text!r}")
    return int(text)


def require_store(arguments: argparse.Namespace) -> Address:
    """Return the store's address; raise ``UsageError`` if none is given."""
    if arguments.store is None:
        raise _missing_option("--store", STORE_VARIABLE)
    return arguments.store


def require_controller(arguments: argparse.Namespace) -> Address:
    """Return the controller's address; raise ``UsageError`` if none is given."""
    if arguments.controller is None:
        raise _missing_option("--controller", CONTROLLER_VARIABLE)
    return arguments.controller


class UsageError(UserError):
    """Missing or contradictory options; exits with the code for wrong usage."""


def _missing_option(option: str, variable: str) -> UsageError:
    return UsageError(ResultCode.SETTINGS_INVALID, f"give {option} IP:PORT or set {variable}")


def timeout_of(arguments: argparse.Namespace) -> timedelta:
    """Return the timeout of each request."""
    return timedelta(milliseconds=arguments.timeout_ms)


def keys_of(arguments: argparse.Namespace) -> ChannelKeys | None:
    """Load the key file, if one is given; raise ``UserError`` if it can't be read."""
    return load_keys(arguments.keys) if arguments.keys is not None else None
