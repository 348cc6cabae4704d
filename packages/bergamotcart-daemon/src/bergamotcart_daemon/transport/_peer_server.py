"""Receives the messages of peers within the limits of the process."""

import asyncio
import functools
import itertools
import logging
from collections.abc import Callable
from typing import Final

from bergamotcart.resources import ConnectionSlots
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.logs import RateLimitedLog
from bergamotcart_daemon.resources import ResourceGuard, Timeouts, limit_kernel_buffers
from bergamotcart_daemon.transport._peer_connection import PeerConnection, PeerConnectionOwner

_BACKLOG: Final = 128
# A longer message of an unknown peer is received only after memory for it has been reserved.
_UNRESERVED_BYTES: Final = 65_536
# A message is held in pieces, as a whole, decompressed and decoded.
_COPIES: Final = 4
# Less than this is part of what an open connection needs anyway.
_MIN_CHARGE_BYTES: Final = 8192
# Peers that have sent a valid message share the memory apart from connections that have not.
_PROVEN_SHARE: Final = 'peers'
_UNPROVEN_SHARE: Final = 'unknown peers'

_logger = logging.getLogger(__name__)


class PeerServer(PeerConnectionOwner):
    """Takes the place of the messaging library's listener where limits are named.

    The library limits neither the connections that it accepts nor what it holds of messages that
    have arrived in part. It frames messages in the same way.

    :param process: called with each message; returns whether it is valid.
    """

    def __init__(self, guard: ResourceGuard, process: Callable[[bytes], bool]) -> None:
        """Prepare the server; ``start`` opens its socket."""
        self._guard = guard
        self._process = process
        self._slots = ConnectionSlots(guard.shares.peers)
        self._keys = itertools.count(1)
        self._connections: dict[int, PeerConnection] = {}
        self._greetings = self._build_timeouts(
            guard.limits.startup_timeout_s, 'peer_startup_timeout'
        )
        self._messages = self._build_timeouts(
            guard.limits.message_timeout_s, 'peer_message_timeout'
        )
        self._log = RateLimitedLog(_logger)
        self._listener: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Open the listening socket."""
        self._listener = await asyncio.get_running_loop().create_server(
            self._build_connection,
            address.host,
            address.port,
            backlog=self._guard.accepted_at_once,
        )
        limit_kernel_buffers(self._listener, _BACKLOG)

    def stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.close()
        self._greetings.close()
        self._messages.close()
        for connection in tuple(self._connections.values()):
            connection.abort()

    def open_connection(self, connection: PeerConnection) -> None:
        """Admit a connection if there is a descriptor for it.

        Connections of peers are admitted although memory is short, as the process needs them.
        """
        connection.budget_key = self._guard.budget.add(connection, _UNPROVEN_SHARE)
        self._connections[connection.key] = connection
        admission = self._slots.open(connection.key, asyncio.get_running_loop().time())
        if admission.evicted is not None:
            self._close(admission.evicted, 'peer_closed_descriptors')
        if admission.is_admitted:
            self._greetings.start(connection.key)
        else:
            self._close(connection.key, 'peer_refused')

    def handle_greeting(self, connection: PeerConnection) -> None:
        """Stop the time limit of the greeting."""
        self._greetings.stop(connection.key)

    def handle_length(self, connection: PeerConnection, size: int) -> None:
        """Reserve memory for a long message, unless the peer is known."""
        if connection.is_proven or size <= _UNRESERVED_BYTES:
            return
        connection.has_reservation = self._guard.budget.reserve(
            connection.budget_key, _COPIES * size
        )
        if not connection.has_reservation:
            connection.wait_for_memory()

    def handle_reservation(self, connection: PeerConnection) -> None:
        """Receive the rest of a message, whose time limit starts again."""
        connection.has_reservation = True
        self._messages.stop(connection.key)
        self._messages.start(connection.key)
        self._charge(connection)

    def handle_message(self, connection: PeerConnection, received: bytes) -> None:
        """Process a message, and close the connection if none of it was ever valid."""
        self._messages.stop(connection.key)
        if connection.has_reservation or connection.is_waiting:
            connection.has_reservation = False
            connection.stop_waiting()
            self._guard.budget.release(connection.budget_key)
        is_valid = self._process(received)
        if connection.is_proven:
            return
        if is_valid:
            connection.is_proven = True
            self._slots.begin_service(connection.key)
            self._guard.budget.move(connection.budget_key, _PROVEN_SHARE)
        else:
            self._close(connection.key, 'peer_closed_invalid')

    def handle_invalid_data(self, connection: PeerConnection) -> None:
        """Close a connection that does not speak the protocol."""
        self._close(connection.key, 'peer_closed_invalid')

    def handle_received(self, connection: PeerConnection, size: int) -> None:
        """Charge the part of a message that has arrived, and limit the time of the rest."""
        if connection.is_partial:
            self._messages.start(connection.key)
        if connection.has_reservation:
            self._guard.budget.record_received(connection.budget_key, size)
        self._charge(connection)

    def give_way(self, connection: PeerConnection, *, is_stalled: bool) -> None:
        """Close a connection, since others need its memory."""
        event = 'peer_closed_stalled' if is_stalled else 'peer_closed_memory'
        self._close(connection.key, event)

    def close_connection(self, connection: PeerConnection) -> None:
        """Forget a connection that is closed."""
        self._forget(connection)

    def _charge(self, connection: PeerConnection) -> None:
        held = 0
        if not connection.has_reservation and connection.buffered_bytes >= _MIN_CHARGE_BYTES:
            held = _COPIES * connection.buffered_bytes
        self._guard.budget.charge(connection.budget_key, held)

    def _build_connection(self) -> PeerConnection:
        return PeerConnection(next(self._keys), self)

    def _build_timeouts(self, length_s: float, event: str) -> Timeouts:
        return Timeouts(length_s, functools.partial(self._close, event=event))

    def _close(self, key: int, event: str) -> None:
        connection = self._connections.get(key)
        if connection is not None:
            self._guard.metrics.count_event(event)
            self._log.warning('connection of a peer closed: %s', event)
            self._forget(connection)
            connection.abort()

    def _forget(self, connection: PeerConnection) -> None:
        if self._connections.pop(connection.key, None) is not None:
            self._greetings.stop(connection.key)
            self._messages.stop(connection.key)
            self._slots.close(connection.key)
            self._guard.budget.remove(connection.budget_key)
