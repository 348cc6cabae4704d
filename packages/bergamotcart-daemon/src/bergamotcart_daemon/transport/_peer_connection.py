"""Connection of a peer: splits what it sends into messages, as the messaging library does."""

import abc
import asyncio
import socket
import struct
from typing import Final

from bergamotcart import messages
from bergamotcart_daemon.resources import BudgetMember

# Scalability Protocols over TCP: each side sends a header with the type of its socket, then each
# message follows its length.
_PUSH_HEADER: Final = b'\0SP\0\0\x50\0\0'
_PULL_HEADER: Final = b'\0SP\0\0\x51\0\0'
_LENGTH: Final = struct.Struct('>Q')
# A host without power does not close its connections; these limits find them within a minute.
_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


class PeerConnectionOwner(abc.ABC):
    """Server that a connection reports to."""

    @abc.abstractmethod
    def open_connection(self, connection: 'PeerConnection') -> None:
        """Admit a new connection, or refuse it."""

    @abc.abstractmethod
    def handle_greeting(self, connection: 'PeerConnection') -> None:
        """Note that the peer has identified itself as a sender of messages."""

    @abc.abstractmethod
    def handle_length(self, connection: 'PeerConnection', size: int) -> None:
        """Note how long the next message is."""

    @abc.abstractmethod
    def handle_message(self, connection: 'PeerConnection', received: bytes) -> None:
        """Process a message."""

    @abc.abstractmethod
    def handle_invalid_data(self, connection: 'PeerConnection') -> None:
        """Close a connection that does not speak the protocol."""

    @abc.abstractmethod
    def handle_received(self, connection: 'PeerConnection', size: int) -> None:
        """Note that some bytes have arrived, and what they complete is handled."""

    @abc.abstractmethod
    def handle_reservation(self, connection: 'PeerConnection') -> None:
        """Note that memory for the next message is reserved."""

    @abc.abstractmethod
    def give_way(self, connection: 'PeerConnection', *, is_stalled: bool) -> None:
        """Close a connection, since others need its memory."""

    @abc.abstractmethod
    def close_connection(self, connection: 'PeerConnection') -> None:
        """Forget a connection that is closed."""


class PeerConnection(asyncio.Protocol, BudgetMember):
    """One connection of a peer.

    :ivar key: key of the connection in the server.
    :ivar budget_key: key of the connection in the budget of the process.
    :ivar has_reservation: whether memory for the next message is reserved.
    :ivar is_waiting: whether reading stops until memory for the next message is reserved.
    :ivar is_proven: whether a valid message has come.
    """

    __slots__ = (
        '_buffer',
        '_has_greeted',
        '_message_bytes',
        '_owner',
        '_transport',
        'budget_key',
        'has_reservation',
        'is_proven',
        'is_waiting',
        'key',
    )

    def __init__(self, key: int, owner: PeerConnectionOwner) -> None:
        """Prepare a connection that is not open yet."""
        self.key = key
        self.budget_key = 0
        self.has_reservation = False
        self.is_proven = False
        self.is_waiting = False
        self._owner = owner
        self._buffer = bytearray()
        self._has_greeted = False
        # Length of the next message, once it has arrived.
        self._message_bytes: int | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def buffered_bytes(self) -> int:
        """Size of what has arrived of a message that is not complete."""
        return len(self._buffer)

    @property
    def is_partial(self) -> bool:
        """Whether a part of a message has arrived and the rest has not."""
        return bool(self._buffer) or self._message_bytes is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Identify this process as a receiver of messages."""
        self._transport = transport
        tcp_socket = transport.get_extra_info('socket')
        for option in _KEEPALIVE_OPTIONS:
            tcp_socket.setsockopt(*option)
        self._owner.open_connection(self)
        if not transport.is_closing():
            transport.write(_PULL_HEADER)

    def data_received(self, data: bytes) -> None:
        """Process the messages that are complete."""
        if self._transport.is_closing():
            return
        self._buffer += data
        start = 0
        end = self._find_end(start)
        while end is not None and not self._transport.is_closing():
            part = bytes(self._buffer[start:end])
            start = end
            self._handle_part(part)
            end = self._find_end(start)
        if start:
            self._buffer = self._buffer[start:]
        if not self._transport.is_closing():
            self._owner.handle_received(self, len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all that the connection holds."""
        self._buffer.clear()
        self._owner.close_connection(self)

    def give_way(self, *, is_stalled: bool) -> None:
        """Close the connection, since others need the memory that it holds."""
        self._owner.give_way(self, is_stalled=is_stalled)

    def wait_for_memory(self) -> None:
        """Stop reading until memory for the message is reserved."""
        self.is_waiting = True
        self._transport.pause_reading()

    def continue_with_reservation(self) -> None:
        """Read the rest of the message."""
        self.stop_waiting()
        self._owner.handle_reservation(self)

    def stop_waiting(self) -> None:
        """Read again, if the connection waited for memory."""
        if self.is_waiting:
            self.is_waiting = False
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def _find_end(self, start: int) -> int | None:
        """Return the end of the part that starts there, or ``None`` if it is not complete."""
        size = _LENGTH.size if self._message_bytes is None else self._message_bytes
        end = start + size
        return end if end <= len(self._buffer) else None

    def _handle_part(self, part: bytes) -> None:
        if self._message_bytes is None:
            self._handle_header(part)
            return
        self._message_bytes = None
        self._owner.handle_message(self, part)

    def _handle_header(self, header: bytes) -> None:
        if self._has_greeted:
            self._handle_length(header)
            return
        if header != _PUSH_HEADER:
            self._owner.handle_invalid_data(self)
            return
        self._has_greeted = True
        self._owner.handle_greeting(self)

    def _handle_length(self, encoded: bytes) -> None:
        size = _LENGTH.unpack(encoded)[0]
        if size > messages.MAX_MESSAGE_BYTES:
            self._owner.handle_invalid_data(self)
            return
        self._message_bytes = size
        self._owner.handle_length(self, size)
