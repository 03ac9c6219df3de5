"""Sections of a configuration, which are gossiped separately.

A change of one database service sends one section to each host, not the whole document.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import xxhash

from hickorywind.configuration.model import Configuration, Limits, Service, Zone

MAIN_SECTION = "main"
_SERVICE_PREFIX = "service/"


class _MainSection(msgspec.Struct, frozen=True):
    name: str
    zones: tuple[Zone, ...]
    limits: Limits


def _encode(value: msgspec.Struct) -> str:
    return msgspec.json.encode(value, order="deterministic").decode()


def split_sections(configuration: Configuration) -> dict[str, str]:
    """Return the sections of a configuration as canonical JSON by section name."""
    main = _MainSection(configuration.name, configuration.zones, configuration.limits)
    sections = {MAIN_SECTION: _encode(main)}
    for service in configuration.services:
        sections[_SERVICE_PREFIX + service.name] = _encode(service)
    return sections


def join_sections(sections: Mapping[str, str]) -> Configuration:
    """Rebuild a configuration; raise ``msgspec.MsgspecError`` or ``KeyError`` for bad sections.

    An empty document marks a removed section.
    """
    main = msgspec.json.decode(sections[MAIN_SECTION], type=_MainSection)
    services = [
        msgspec.json.decode(document, type=Service)
        for name, document in sorted(sections.items())
        if name.startswith(_SERVICE_PREFIX) and document
    ]
    return Configuration(main.name, main.zones, tuple(services), main.limits)


def digest_sections(sections: Mapping[str, str]) -> str:
    """Return a digest of all sections that are not removed, independent of their order."""
    state = xxhash.xxh3_64()
    for name, document in sorted(sections.items()):
        if document:
            state.update(f"{name}\0{document}\0".encode())
    return state.hexdigest()
