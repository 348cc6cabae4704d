"""Link that relays the connections of a listening address to a target address."""

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from typing import Final

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.relay._pipe import Pipe
from bergamotcart_testkit.relay._settings import Drop, LinkAddress, LinkSettings, LinkState

_CONNECT_TIMEOUT_S: Final = 5.0
# SO_LINGER with timeout zero makes the kernel send RST instead of FIN on close.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)


class _Endpoint(asyncio.Protocol):
    """One end of a relayed connection; sends the bytes it receives through a pipe."""

    def __init__(self, pipe: Pipe) -> None:
        """Create an endpoint whose received bytes go into a pipe."""
        self.transport: asyncio.Transport | None = None
        self._pipe = pipe

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and connect it to the pipe."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport
            self._pipe.connect_source(transport)

    def data_received(self, content: bytes) -> None:
        """Add the received bytes to the pipe."""
        self._pipe.enqueue(content)

    def connection_lost(self, error: Exception | None) -> None:
        """Forward the end of the stream."""
        self._pipe.enqueue(b'')


class _RelayedConnection(_Endpoint):
    """The connection of a caller and the corresponding connection to the target."""

    def __init__(self, link: 'Link') -> None:
        """Create the pipes of both directions."""
        self._link = link
        self._upstream = Pipe(Drop.to_target, link.current_settings, link.jitter_generator)
        self._downstream = Pipe(Drop.to_source, link.current_settings, link.jitter_generator)
        self._target: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        super().__init__(self._upstream)

    @property
    def accepted_bytes(self) -> int:
        """Bytes accepted in both directions."""
        return self._upstream.accepted_bytes + self._downstream.accepted_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to connect to the target."""
        super().connection_made(transport)
        self._link.connections.add(self)
        if self.transport:
            self._downstream.connect_sink(self.transport)
        self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def connection_lost(self, error: Exception | None) -> None:
        """Forward the end of the stream."""
        super().connection_lost(error)
        if self._connecting and self._upstream.has_dropped_bytes:
            # The end of the stream was dropped too, so the target would never see it.
            self._connecting.cancel()
            self._link.closed_before_connect_count += 1
        self._remove_if_closed()

    def apply_settings(self) -> None:
        """Apply changed settings; reset the connection if bytes were dropped and the drop ended."""
        has_dropped_bytes = self._upstream.has_dropped_bytes or self._downstream.has_dropped_bytes
        if has_dropped_bytes and self._link.settings.drop is Drop.none:
            self.reset()
            return
        self._upstream.deliver_due()
        self._downstream.deliver_due()

    def silence(self) -> None:
        """Discard all further bytes while both ends stay connected."""
        self._upstream.silent = True
        self._downstream.silent = True

    def reset(self) -> None:
        """Reset both connections."""
        if self._connecting:
            self._connecting.cancel()
        for pipe in (self._upstream, self._downstream):
            pipe.discard_queue()
        for transport in (self.transport, self._target):
            if transport:
                _abort_with_reset(transport)
        self._link.remove_connection(self)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await self._open_target()
        except OSError:
            self.reset()

    async def _open_target(self) -> None:
        while self._link.settings.blocks_new_connections:
            await self._link.wait_for_change()
        # A TCP handshake takes one round trip before any byte is sent.
        await asyncio.sleep(2 * self._link.settings.delay)
        address = self._link.target
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            lambda: _TargetEndpoint(self._downstream, self._count_closed_target),
            address.host,
            address.port,
        )
        self._target = transport
        self._link.opened_count += 1
        self._upstream.connect_sink(transport)

    def _count_closed_target(self) -> None:
        self._link.closed_count += 1
        self._remove_if_closed()

    def _remove_if_closed(self) -> None:
        transports = (self.transport, self._target)
        if all(transport is None or transport.is_closing() for transport in transports):
            self._link.remove_connection(self)


class _TargetEndpoint(_Endpoint):
    def __init__(self, pipe: Pipe, on_closed: Callable[[], None]) -> None:
        """Create an endpoint that calls ``on_closed`` when the connection has ended."""
        super().__init__(pipe)
        self._on_closed = on_closed

    def connection_lost(self, error: Exception | None) -> None:
        """Forward the end of the stream."""
        super().connection_lost(error)
        self._on_closed()


class Link:
    """Relays the connections of one listening address to one target address.

    :ivar opened_count: connections made to the target.
    :ivar closed_count: connections to the target that have ended.
    :ivar closed_before_connect_count: callers that disconnected during a drop, before the
        connection to the target was made.
    """

    def __init__(self, address: LinkAddress, settings: LinkSettings, seed: int) -> None:
        """Create a link; ``start`` opens its listening socket.

        :param seed: seed of the jitter.
        """
        self.name = address.name
        self.listen = Address.parse(address.listen)
        self.target = Address.parse(address.target)
        self.settings = settings
        self.jitter_generator = random.Random(f'{seed}:{address.name}')
        self.connections: set[_RelayedConnection] = set()
        self.opened_count = 0
        self.closed_count = 0
        self.closed_before_connect_count = 0
        self._server: asyncio.Server | None = None
        self._settings_changed = asyncio.Event()
        self._closed_connection_bytes = 0

    def remove_connection(self, connection: _RelayedConnection) -> None:
        """Remove a connection that has ended, and add its bytes to the total."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._closed_connection_bytes += connection.accepted_bytes

    def current_settings(self) -> LinkSettings:
        """Return the current settings."""
        return self.settings

    def state(self) -> LinkState:
        """Return the state of the link."""
        return LinkState(
            name=self.name,
            listen=str(self.listen),
            target=str(self.target),
            settings=self.settings,
            connections=len(self.connections),
            target_connections=self.opened_count - self.closed_count,
            relayed_bytes=self._closed_connection_bytes
            + sum(each.accepted_bytes for each in self.connections),
        )

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _RelayedConnection(self), self.listen.host, self.listen.port
        )

    def change(self, settings: LinkSettings) -> None:
        """Change the settings, also for open connections."""
        self.settings = settings
        changed = self._settings_changed
        self._settings_changed = asyncio.Event()
        changed.set()
        for connection in tuple(self.connections):
            connection.apply_settings()

    async def wait_for_change(self) -> None:
        """Wait for the next change of the settings."""
        await self._settings_changed.wait()

    def silence(self) -> None:
        """Discard all further bytes of open connections; new connections are unaffected."""
        for connection in self.connections:
            connection.silence()

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in tuple(self.connections):
            connection.reset()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self.reset()


def _abort_with_reset(transport: asyncio.Transport) -> None:
    sock: socket.socket | None = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()
