"""Loading of keys and passwords, which are kept in separate files.

Errors name the file, the key and what is expected, never a value.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec
import zmq

from hickorywind.protocol.channel import ChannelKeys
from hickorywind.results import ResultCode, UserError
from hickorywind.settings.load import make_settings_error, read_text
from hickorywind.util.documents import DocumentError, convert, read_yaml

_Z85_KEY_CHARACTERS = 40


class _KeysFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    public: str
    secret: str


def load_keys(path: str | Path) -> ChannelKeys:
    """Read the CURVE key pair of the installation (``public`` and ``secret``, Z85 text).

    Raise ``UserError`` with ``SETTINGS_INVALID``.
    """
    try:
        keys = convert(read_yaml(read_text(path), holds_secrets=True), _KeysFile)
        _check_pair(keys)
    except DocumentError as error:
        raise make_settings_error(path, error) from None
    return ChannelKeys(keys.public.encode(), keys.secret.encode())


def _check_pair(keys: _KeysFile) -> None:
    for name in ("public", "secret"):
        value = getattr(keys, name)
        if len(value) != _Z85_KEY_CHARACTERS or not value.isascii():
            raise DocumentError(name, f"expected {_Z85_KEY_CHARACTERS} characters of Z85 text")
    try:
        derived = zmq.curve_public(keys.secret.encode())
    except (ValueError, zmq.ZMQError):
        raise DocumentError("secret", "expected a CURVE secret key as Z85 text") from None
    if derived != keys.public.encode():
        raise DocumentError("public", "does not belong to the secret key")


def load_users(path: str | Path) -> Mapping[str, str]:
    """Read a YAML map of caller names to passwords; raise ``UserError`` if it is invalid."""
    try:
        users = read_yaml(read_text(path), holds_secrets=True)
        _check_users(users)
    except DocumentError as error:
        raise make_settings_error(path, error) from None
    return users


def _check_users(users: object) -> None:
    if not isinstance(users, dict) or not users:
        raise DocumentError("", "expected a map of caller names to passwords")
    for number, (name, password) in enumerate(users.items(), start=1):
        if not isinstance(name, str):
            raise DocumentError(f"entry {number}", "expected the caller's name as a string")
        if not isinstance(password, str) or not password:
            raise DocumentError(name, "expected a password as a string; quote it if necessary")


def load_password(path: str | Path) -> str:
    """Return the password on the only line of a file; raise ``UserError`` if it is invalid."""
    lines = read_text(path).splitlines()
    if len(lines) != 1 or not lines[0]:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: expected one line with a password")
    return lines[0]
