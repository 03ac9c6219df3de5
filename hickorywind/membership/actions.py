"""Actions that the membership logic requests from the task that runs it."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import Address
from hickorywind.protocol.messages import Message


@dataclass(frozen=True)
class ToAddress:
    """Controller at an address, reached over a link that this process opens."""

    address: Address


@dataclass(frozen=True)
class ToPeer:
    """Sender of a received message, reached over the link that the message came by."""

    peer: bytes


Endpoint = ToAddress | ToPeer


@dataclass(frozen=True)
class Send:
    """Request to send a message, which may be lost."""

    target: Endpoint
    message: Message
