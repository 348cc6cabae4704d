"""Inputs and actions that both engines share."""

from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart._decisions import Decision

__all__ = ('Decision', 'MessageReceived', 'Send')


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Input: a decoded message of another process."""

    envelope: messages.Envelope


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message; it may be lost, late or delivered twice.

    :param recipient: name of the receiving process.
    :param address: its inter-process address.
    """

    recipient: str
    address: str
    body: messages.Body
