"""Define what the membership core asks of the task that runs it."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import Address
from hickorywind.protocol.messages import Message


@dataclass(frozen=True)
class ToAddress:
    """Reach a controller by its address, over a link of our own."""

    address: Address


@dataclass(frozen=True)
class ToPeer:
    """Reach whoever sent us a message, over its own link."""

    peer: bytes


Target = ToAddress | ToPeer


@dataclass(frozen=True)
class Send:
    """Send a message; it may be lost."""

    target: Target
    message: Message
