"""Tests that a connection which stops delivering messages is replaced."""

import asyncio
import contextlib
import socket
from typing import Self

from bergamotcart import messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart_daemon.addresses import Address, AddressTranslation
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.transport import Identity, Transport
from bergamotcart_daemon.transport._acknowledgements import ACKNOWLEDGEMENT_TIMEOUT_S

_SEND_INTERVAL_S = 0.05
_TEST_TIMEOUT_S = 20
_SILENCE_S = 2.5
# An unanswered dial takes 0.8 s at most, and the next one is answered at once.
_MAX_DIAL_DELAY_S = 1.5
_CHUNK_BYTES = 4096


class _Proxy:
    """TCP proxy that can drop all data of its open connections, while new ones work."""

    def __init__(self, listen: str, target: str) -> None:
        self._listen = Address.parse(listen)
        self._target = Address.parse(target)
        self._dropping: set[asyncio.StreamWriter] = set()
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(
            self._serve_connection, self._listen.host, self._listen.port
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in self._open_writers:
            writer.transport.abort()

    def drop_data_of_open_connections(self) -> None:
        """Drop all further data of the connections that are open now."""
        self._dropping |= self._open_writers

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection(self._target.host, self._target.port)
        self._open_writers |= {writer, target[1]}
        directions = (self._forward(reader, target[1]), self._forward(target[0], writer))
        await asyncio.gather(*directions, return_exceptions=True)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        chunk = await reader.read(_CHUNK_BYTES)
        while chunk:
            if writer not in self._dropping:
                writer.write(chunk)
            chunk = await reader.read(_CHUNK_BYTES)


def _build_transport(name: str, address: str, translations: dict[str, str], submit) -> Transport:
    identity = Identity('default', name, f'{name}-1', address)
    return Transport(address, identity, AddressTranslation(translations), Metrics(dict), submit)


async def _send_continuously(transport: Transport, recipient: str, address: str) -> None:
    number = 0
    while True:
        number += 1
        transport.send(Send(recipient, address, messages.RelayPull(sent_at=float(number))))
        await asyncio.sleep(_SEND_INTERVAL_S)


async def test_silent_connection_is_replaced(addresses):
    """Without a new connection, all messages to a reachable peer would be lost."""
    entry, control, proxied = (next(addresses) for _ in range(3))
    received: asyncio.Queue[MessageReceived] = asyncio.Queue()
    first = _build_transport('e', entry, {control: proxied}, lambda _: None)
    second = _build_transport('c', control, {}, received.put_nowait)
    async with contextlib.AsyncExitStack() as stack:
        proxy = await stack.enter_async_context(_Proxy(proxied, control))
        for transport in (second, first):
            await stack.enter_async_context(transport)
        stack.callback(asyncio.create_task(_send_continuously(first, 'c', control)).cancel)
        stack.callback(asyncio.create_task(_send_continuously(second, 'e', entry)).cancel)
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            await received.get()
            proxy.drop_data_of_open_connections()
            # Data in flight may still arrive; afterwards the connection delivers nothing.
            await asyncio.sleep(0.2)
            while not received.empty():
                received.get_nowait()
            await received.get()


class _SilentListener:
    """Listening socket with a full queue, for which the kernel drops connection requests."""

    def __init__(self, address: str) -> None:
        parsed = Address.parse(address)
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((parsed.host, parsed.port))
        self._listener.listen(0)
        self._queued = [socket.socket() for _ in range(4)]
        for queued in self._queued:
            queued.setblocking(False)
            queued.connect_ex((parsed.host, parsed.port))

    def close(self) -> None:
        """Release the address."""
        for opened in (self._listener, *self._queued):
            opened.close()


async def test_unanswered_dial_is_repeated_while_messages_are_sent(addresses, caplog):
    """The kernel repeats an unanswered dial after 1, 3 and 7 s, later than control may wait."""
    entry, control = next(addresses), next(addresses)
    received: asyncio.Queue[MessageReceived] = asyncio.Queue()
    first = _build_transport('e', entry, {}, lambda _: None)
    second = _build_transport('c', control, {}, received.put_nowait)
    silent = _SilentListener(control)
    caplog.set_level('INFO')
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(first)
        stack.callback(asyncio.create_task(_send_continuously(first, 'c', control)).cancel)
        await asyncio.sleep(_SILENCE_S)
        silent.close()
        assert caplog.text.count('reconnecting') >= int(_SILENCE_S / ACKNOWLEDGEMENT_TIMEOUT_S)
        await stack.enter_async_context(second)
        async with asyncio.timeout(_MAX_DIAL_DELAY_S):
            await received.get()
