"""Sections of a configuration, which are gossiped separately.

A change of one database service or client account sends one section to each host, not the whole
document.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import msgspec
import xxhash

from hickorywind.configuration.model import Account, Configuration, Limits, Service, Zone
from hickorywind.util.decoding import decode

T = TypeVar("T", bound=msgspec.Struct)

MAIN_SECTION = "main"
_SERVICE_PREFIX = "service/"
_ACCOUNT_PREFIX = "account/"


class _MainSection(msgspec.Struct, frozen=True):
    name: str
    zones: tuple[Zone, ...]
    limits: Limits


_main_decoder = msgspec.json.Decoder(_MainSection)
_service_decoder = msgspec.json.Decoder(Service)
_account_decoder = msgspec.json.Decoder(Account)


def _encode(value: msgspec.Struct) -> str:
    return msgspec.json.encode(value, order="deterministic").decode()


def split_sections(configuration: Configuration) -> dict[str, str]:
    """Return the sections of a configuration as canonical JSON by section name."""
    main = _MainSection(configuration.name, configuration.zones, configuration.limits)
    sections = {MAIN_SECTION: _encode(main)}
    for service in configuration.services:
        sections[_SERVICE_PREFIX + service.name] = _encode(service)
    for account in configuration.accounts:
        sections[_ACCOUNT_PREFIX + account.name] = _encode(account)
    return sections


def join_sections(sections: Mapping[str, str]) -> Configuration:
    """Rebuild a configuration; raise ``MalformedDataError`` or ``KeyError`` for bad sections.

    An empty document marks a removed section.
    """
    main = decode(_main_decoder, sections[MAIN_SECTION].encode())
    services = _decode_all(sections, _SERVICE_PREFIX, _service_decoder)
    accounts = _decode_all(sections, _ACCOUNT_PREFIX, _account_decoder)
    return Configuration(main.name, main.zones, services, main.limits, accounts)


def _decode_all(
    sections: Mapping[str, str], prefix: str, decoder: msgspec.json.Decoder[T]
) -> tuple[T, ...]:
    return tuple(
        decode(decoder, document.encode())
        for name, document in sorted(sections.items())
        if name.startswith(prefix) and document
    )


def digest_sections(sections: Mapping[str, str]) -> str:
    """Return a digest of all sections that are not removed, independent of their order."""
    state = xxhash.xxh3_64()
    for name, document in sorted(sections.items()):
        if document:
            state.update(f"{name}\0{document}\0".encode())
    return state.hexdigest()
