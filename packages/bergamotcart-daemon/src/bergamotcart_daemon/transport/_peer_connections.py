"""Accepts the connections of peers within the limits of the process."""

import asyncio
import contextlib
import itertools
import logging
import socket
from typing import Final

import pynng

from bergamotcart import messages
from bergamotcart.resources import ConnectionSlots
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.logs import RateLimitedLog
from bergamotcart_daemon.resources import ResourceGuard

# Connections from which no valid message has come may hold this part of the memory. Each may hold
# one message that has arrived in part.
_UNPROVEN_SHARE: Final = 0.5
_MIN_UNPROVEN: Final = 8
_BACKLOG: Final = 128
# First bytes of a push socket. The library closes connections with others, after up to 10 s.
_GREETING: Final = b'\0SP\0\0\x50\0\0'
# The library takes this long at most to add a connection, or to close it.
_ADDING_TIMEOUT_S: Final = 10.0
_FD_OPTION: Final = b'socket:fd'

_logger = logging.getLogger(__name__)


class PeerConnections:
    """Accepts connections, and passes them to the messaging library once they are greeted.

    The library limits neither the connections that it accepts nor those on which nothing arrives.
    It holds the beginning of a message until the rest arrives, and does not tell how much that is.
    So connections are counted here, and those from which no valid message has come yet are limited
    further.
    """

    def __init__(self, guard: ResourceGuard) -> None:
        """Start without connections."""
        self._guard = guard
        self._slots = ConnectionSlots(guard.shares.peers, _count_unproven(guard))
        self._pipes: dict[int, pynng.Pipe] = {}
        self._greeted: dict[int, socket.socket] = {}
        # Connections that were passed to the library, which has not added them yet, with the time.
        self._passed: dict[int, float] = {}
        # Pipes have positive numbers.
        self._keys = itertools.count(-1, -1)
        self._log = RateLimitedLog(_logger)
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._pipe_listener: pynng.Listener | None = None

    def listen(self, address: Address, pull_socket: pynng.Pull0) -> None:
        """Accept connections for a socket of the library."""
        pull_socket.add_pre_pipe_connect_cb(self._add_pipe_threadsafe)
        pull_socket.add_post_pipe_remove_cb(self._remove_pipe_threadsafe)
        self._pipe_listener = pull_socket.listen('socket://')
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        self._listener = socket.create_server(
            (address.host, address.port), family=family, backlog=_BACKLOG
        )
        self._listener.setblocking(False)
        self._loop.add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Stop to accept connections."""
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
        for key in tuple(self._greeted):
            self._take_greeted(key).close()

    def record_message(self, pipe: pynng.Pipe | None, *, is_valid: bool) -> None:
        """Record a message of a peer, and close the connection if none of it was ever valid."""
        if pipe is None:
            return
        if is_valid:
            self._slots.begin_service(pipe.id)
        elif self._slots.is_pending(pipe.id):
            self._close(pipe.id, 'peer_closed_invalid')

    def _accept(self) -> None:
        self._forget_unadded()
        for _ in range(self._guard.accepted_at_once):
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                # No connection is left, or no descriptor; the loop calls again.
                return
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        key = next(self._keys)
        if not self._admit(key):
            accepted.close()
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The loop calls once the whole greeting has arrived, or the connection has ended.
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, len(_GREETING))
        self._greeted[key] = accepted
        self._loop.add_reader(accepted, self._receive_greeting, key)

    def _receive_greeting(self, key: int) -> None:
        accepted = self._take_greeted(key)
        greeting = b''
        with contextlib.suppress(OSError):
            greeting = accepted.recv(len(_GREETING), socket.MSG_PEEK)
        if greeting != _GREETING:
            self._slots.close(key)
            accepted.close()
            return
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
        self._passed[key] = self._loop.time()
        descriptor = accepted.detach()
        listener = self._pipe_listener.listener
        if pynng.lib.nng_listener_set_int(listener, _FD_OPTION, descriptor):
            socket.close(descriptor)

    def _take_greeted(self, key: int) -> socket.socket:
        accepted = self._greeted.pop(key)
        self._loop.remove_reader(accepted)
        return accepted

    def _admit(self, key: int) -> bool:
        admission = self._slots.open(key, self._loop.time())
        if admission.evicted is not None:
            self._close(admission.evicted, 'peer_closed_unproven')
        if not admission.is_admitted:
            self._report('peer_refused')
        return admission.is_admitted

    def _close(self, key: int, event: str) -> None:
        self._report(event)
        self._slots.close(key)
        if key in self._greeted:
            self._take_greeted(key).close()
        self._passed.pop(key, None)
        pipe = self._pipes.pop(key, None)
        if pipe is not None:
            pipe.close()

    def _forget_unadded(self) -> None:
        """Stop counting connections that the library has closed without adding them."""
        now = self._loop.time()
        for key, passed_at in tuple(self._passed.items()):
            if now < passed_at + _ADDING_TIMEOUT_S:
                return
            self._passed.pop(key)
            self._slots.close(key)

    def _add_pipe_threadsafe(self, pipe: pynng.Pipe) -> None:
        # The library calls from threads of its own, also after the loop has ended.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._add_pipe, pipe)

    def _remove_pipe_threadsafe(self, pipe: pynng.Pipe) -> None:
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._remove_pipe, pipe.id)

    def _add_pipe(self, pipe: pynng.Pipe) -> None:
        passed = next(iter(self._passed), None)
        if passed is not None:
            self._passed.pop(passed)
            self._slots.close(passed)
        if self._admit(pipe.id):
            self._pipes[pipe.id] = pipe
        else:
            pipe.close()

    def _remove_pipe(self, pipe_id: int) -> None:
        self._slots.close(pipe_id)
        self._pipes.pop(pipe_id, None)

    def _report(self, event: str) -> None:
        self._guard.metrics.count_event(event)
        self._log.warning('connection of a peer closed: %s', event)


def _count_unproven(guard: ResourceGuard) -> int | None:
    capacity = guard.limits.connection_bytes
    if capacity is None:
        return None
    return max(int(capacity * _UNPROVEN_SHARE / messages.MAX_MESSAGE_BYTES), _MIN_UNPROVEN)
