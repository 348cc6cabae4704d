"""Links: listening addresses whose connections are relayed."""

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
# Linger with timeout zero makes the kernel send a reset instead of an orderly end.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)


class _End(asyncio.Protocol):
    """One end of a relayed connection, which feeds the pipe towards the other one."""

    def __init__(self, pipe: Pipe) -> None:
        """Remember the pipe that takes the bytes of this end."""
        self.transport: asyncio.Transport | None = None
        self._pipe = pipe

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport
            self._pipe.connect_source(transport)

    def data_received(self, content: bytes) -> None:
        """Feed the pipe."""
        self._pipe.feed(content)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the end of the stream on."""
        self._pipe.feed(b'')


class _Relayed(_End):
    """The connection of a caller together with the one to the target."""

    def __init__(self, link: 'Link') -> None:
        """Prepare both directions."""
        self._link = link
        self._upstream = Pipe(Drop.to_target, link.current_settings, link.generator)
        self._downstream = Pipe(Drop.to_source, link.current_settings, link.generator)
        self._target: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        super().__init__(self._upstream)

    @property
    def passed(self) -> int:
        """Bytes accepted in both directions."""
        return self._upstream.passed + self._downstream.passed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the target as well."""
        super().connection_made(transport)
        self._link.relayed.add(self)
        if self.transport:
            self._downstream.connect_sink(self.transport)
        self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the end of the stream on."""
        super().connection_lost(error)
        if self._connecting and self._upstream.lost:
            # The end of the stream was lost as well, so a target would wait for ever.
            self._connecting.cancel()
            self._link.closed_early += 1
        self._forget_if_closed()

    def settings_changed(self) -> None:
        """Reset the connection if it lost bytes that now would be missed; go on otherwise."""
        lost = self._upstream.lost or self._downstream.lost
        if lost and self._link.settings.drop is Drop.none:
            self.reset()
            return
        self._upstream.resume()
        self._downstream.resume()

    def silence(self) -> None:
        """Swallow everything from now on, without either end noticing."""
        self._upstream.silent = True
        self._downstream.silent = True

    def reset(self) -> None:
        """Break both connections at once."""
        if self._connecting:
            self._connecting.cancel()
        for pipe in (self._upstream, self._downstream):
            pipe.stop()
        for transport in (self.transport, self._target):
            if transport:
                _reset(transport)
        self._link.forget(self)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await self._open_target()
        except OSError:
            self.reset()

    async def _open_target(self) -> None:
        while self._link.settings.passes_nothing:
            await self._link.wait_for_change()
        # A handshake takes one round trip before any byte passes.
        await asyncio.sleep(2 * self._link.settings.delay)
        address = self._link.target
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            lambda: _TargetEnd(self._downstream, self._target_closed),
            address.host,
            address.port,
        )
        self._target = transport
        self._link.opened += 1
        self._upstream.connect_sink(transport)

    def _target_closed(self) -> None:
        self._link.closed += 1
        self._forget_if_closed()

    def _forget_if_closed(self) -> None:
        transports = (self.transport, self._target)
        if all(transport is None or transport.is_closing() for transport in transports):
            self._link.forget(self)


class _TargetEnd(_End):
    def __init__(self, pipe: Pipe, on_closed: Callable[[], None]) -> None:
        """Remember the pipe, and what to call when the connection has ended."""
        super().__init__(pipe)
        self._on_closed = on_closed

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the end of the stream on."""
        super().connection_lost(error)
        self._on_closed()


class Link:
    """Relays the connections of one listening address to one target address.

    :ivar opened: connections made to the target.
    :ivar closed: those of them that have ended.
    :ivar closed_early: callers that gave up during a drop, before a target was connected.
    """

    def __init__(self, address: LinkAddress, settings: LinkSettings, seed: int) -> None:
        """Prepare a link that does not listen yet.

        :param seed: seed of the jitter.
        """
        self.name = address.name
        self.listen = Address.parse(address.listen)
        self.target = Address.parse(address.target)
        self.settings = settings
        self.generator = random.Random(f'{seed}:{address.name}')
        self.relayed: set[_Relayed] = set()
        self.opened = 0
        self.closed = 0
        self.closed_early = 0
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._finished_bytes = 0

    def forget(self, relayed: _Relayed) -> None:
        """Count a connection that has ended."""
        if relayed in self.relayed:
            self.relayed.remove(relayed)
            self._finished_bytes += relayed.passed

    def current_settings(self) -> LinkSettings:
        """Return the settings in force."""
        return self.settings

    def state(self) -> LinkState:
        """Describe the link."""
        return LinkState(
            name=self.name,
            listen=str(self.listen),
            target=str(self.target),
            settings=self.settings,
            connections=len(self.relayed),
            target_connections=self.opened - self.closed,
            relayed_bytes=self._finished_bytes + sum(each.passed for each in self.relayed),
        )

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Relayed(self), self.listen.host, self.listen.port
        )

    def change(self, settings: LinkSettings) -> None:
        """Put other settings in force, also for open connections."""
        self.settings = settings
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        for relayed in tuple(self.relayed):
            relayed.settings_changed()

    async def wait_for_change(self) -> None:
        """Wait until other settings are in force."""
        await self._changed.wait()

    def silence(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        for relayed in self.relayed:
            relayed.silence()

    def reset(self) -> None:
        """Reset all open connections."""
        for relayed in tuple(self.relayed):
            relayed.reset()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self.reset()


def _reset(transport: asyncio.Transport) -> None:
    sock: socket.socket | None = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()
