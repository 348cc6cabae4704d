"""Inputs and actions that the engines of entries and of control share."""

import msgspec

from bergamotcart import messages
from bergamotcart._decisions import Decision

__all__ = ('Decision', 'MessageReceived', 'Send')


class MessageReceived(msgspec.Struct, frozen=True):
    """Input: a decoded message from another process."""

    envelope: messages.Envelope


class Send(msgspec.Struct, frozen=True):
    """Action: send a message, which may be lost, delayed or delivered twice.

    :param recipient: name of the receiving process.
    :param address: inter-process address of the recipient.
    :param body: content of the message.
    """

    recipient: str
    address: str
    body: messages.Body
