"""Inputs and actions that the engines of entries and of control share."""

from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart._decisions import Decision

__all__ = ('Decision', 'MessageReceived', 'Send')


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Input: a decoded message from another process."""

    envelope: messages.Envelope


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message, which may be lost, delayed or delivered twice.

    :param recipient: name of the receiving process.
    :param address: inter-process address of the recipient.
    :param body: content of the message.
    """

    recipient: str
    address: str
    body: messages.Body
