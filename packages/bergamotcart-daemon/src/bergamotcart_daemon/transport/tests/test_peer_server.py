"""Tests of the port for messages between processes where limits are named."""

import asyncio
import contextlib
import os
import random
import socket
import struct
import tempfile

import pynng

from bergamotcart.resources import ResourceLimits
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.transport._peer_server import PeerServer

_GREETING = b'\0SP\0\0\x50\0\0'
_LONGEST = 1024 * 1024
_LENGTH = struct.pack('>Q', _LONGEST)
_HALF = b''.join((_GREETING, _LENGTH, bytes(_LONGEST * 9 // 10)))
_CONNECTIONS = 1200
_WATCHED = 50


@contextlib.asynccontextmanager
async def _run(addresses, **limits):
    given = ResourceLimits(memory_mb=100, max_fds=100, **limits)
    guard = ResourceGuard.build(given, given.control_shares, Metrics(dict))
    received: asyncio.Queue[bytes] = asyncio.Queue()
    # All messages are valid.
    server = PeerServer(guard, lambda message: received.put_nowait(message) is None)
    address = Address.parse(next(addresses))
    await server.start(address)
    yield guard, address, received
    server.stop()
    guard.budget.close()


def _dial(address):
    peer = pynng.Push0()
    peer.dial(f'tcp://{address.host}:{address.port}', block=False)
    return peer


async def _connect(stack, address, sent):
    _, writer = await asyncio.open_connection(address.host, address.port)
    stack.callback(writer.close)
    writer.write(sent)


async def _wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def _has_counted(guard, *events):
    rendered = guard.metrics.render('text/plain').body.decode()
    return all(f'event="peer_{event}"' in rendered for event in events)


async def test_known_peer_is_served_beside_a_crowd_that_stops_half_way(addresses):
    """Each message that had arrived in part was kept for ever, so a crowd used up the memory."""
    async with contextlib.AsyncExitStack() as stack:
        running = _run(addresses, message_timeout_s=2)
        guard, address, received = await stack.enter_async_context(running)
        peer = stack.enter_context(_dial(address))
        await peer.asend(b'first')
        assert await asyncio.wait_for(received.get(), 5) == b'first'
        for _ in range(30):
            await _connect(stack, address, _HALF)
        await _wait_until(lambda: guard.budget.waiting)
        assert guard.budget.total <= guard.limits.connection_bytes
        await peer.asend(bytes(_LONGEST))
        assert await asyncio.wait_for(received.get(), 5) == bytes(_LONGEST)
        await _connect(stack, address, _HALF)
        await _wait_until(lambda: _has_counted(guard, 'closed_memory', 'message_timeout'))
        await _wait_until(lambda: not guard.budget.total)


async def test_unknown_peers_neither_fill_the_server_nor_exceed_a_message(addresses):
    """Idle connections used up the descriptors, and a length may name any size."""
    async with contextlib.AsyncExitStack() as stack:
        running = _run(addresses, startup_timeout_s=0.5)
        guard, address, received = await stack.enter_async_context(running)
        for sent in (b'GET / HT', _GREETING + b'\xff' * 8, b'', _GREETING):
            for _ in range(30):
                await _connect(stack, address, sent)
        events = ('refused', 'startup_timeout', 'closed_invalid')
        await _wait_until(lambda: _has_counted(guard, *events))
        peer = stack.enter_context(_dial(address))
        await peer.asend(b'after the crowd')
        assert await asyncio.wait_for(received.get(), 5) == b'after the crowd'


class _WatchedDescriptors:
    """Files and sockets that are opened and closed, and must be closed by nobody else."""

    def __init__(self):
        self._files = {}
        self._is_stopped = False
        self.turned_over = 0

    def run(self):
        while not self._is_stopped:
            if len(self._files) >= _WATCHED:
                descriptor = random.choice(tuple(self._files))
                opened, identity = self._files.pop(descriptor)
                # The descriptor must be open still, and belong to the same file.
                assert _identify(descriptor) == identity
                opened.close()
                self.turned_over += 1
            opened = random.choice((socket.socket, tempfile.TemporaryFile))()
            self._files[opened.fileno()] = (opened, _identify(opened.fileno()))

    def stop(self):
        self._is_stopped = True

    def close(self):
        for descriptor, (opened, identity) in self._files.items():
            assert _identify(descriptor) == identity
            opened.close()


def _identify(descriptor):
    status = os.fstat(descriptor)
    return status.st_dev, status.st_ino


async def test_connections_of_peers_close_no_descriptors_of_others(addresses):
    """A descriptor that was closed twice took that of a file which had just been opened."""
    watched = _WatchedDescriptors()
    async with contextlib.AsyncExitStack() as stack:
        _, address, received = await stack.enter_async_context(_run(addresses))
        thread = asyncio.create_task(asyncio.to_thread(watched.run))
        stack.callback(watched.stop)
        for number in range(_CONNECTIONS):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(random.choice((_GREETING, _HALF[:9000], b'GET / HT')))
                await asyncio.sleep(0.001)
                (writer.close, writer.transport.abort)[number % 2]()
        peer = stack.enter_context(_dial(address))
        await peer.asend(b'still served')
        assert await asyncio.wait_for(received.get(), 5) == b'still served'
        watched.stop()
        await thread
    watched.close()
    assert watched.turned_over > _CONNECTIONS
