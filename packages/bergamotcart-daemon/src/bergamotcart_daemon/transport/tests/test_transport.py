"""Tests that malformed messages and unreachable peers do not stop or block a process."""

import asyncio
import zlib

import pynng
import pytest

from bergamotcart import messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart.resources import ResourceLimits
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.transport import Identity, Transport
from bergamotcart_daemon.transport._compression import compress, decompress

# Decompresses to four times the maximum size of a message.
_ZIP_BOMB = zlib.compress(bytes(4 * messages.MAX_MESSAGE_BYTES))
_ADVERTISED_ADDRESS = '10.9.9.9:1'


def _build_transport(name: str, address: str, peer: str, submit, limits=None) -> Transport:
    identity = Identity('default', name, f'{name}-1', address)
    translation = AddressTranslation({_ADVERTISED_ADDRESS: peer})
    metrics = Metrics(dict)
    guard = limits and ResourceGuard.build(limits, limits.control_shares, metrics)
    return Transport(address, identity, translation, metrics, submit, guard)


@pytest.mark.parametrize('limits', [None, ResourceLimits(memory_mb=100, max_fds=100)])
async def test_malformed_messages_are_dropped(addresses, limits):
    """One malformed message must not end or block the receiver."""
    first, second = (next(addresses) for _ in range(2))
    received: asyncio.Queue[MessageReceived] = asyncio.Queue()

    sender = _build_transport('e1', first, second, received.put_nowait)
    receiver = _build_transport('c1', second, first, received.put_nowait, limits)
    async with sender, receiver:
        with pynng.Push0() as raw_socket:
            raw_socket.dial(f'tcp://{second}', block=False)
            for garbage in (b'', b'\xc1', b'x' * 100, _ZIP_BOMB, _ZIP_BOMB[:99]):
                await raw_socket.asend(garbage)
            sender.send(Send('c2', _ADVERTISED_ADDRESS, messages.RelayPull(sent_at=1.0)))
            sender.send(Send('c1', _ADVERTISED_ADDRESS, messages.RelayPull(sent_at=2.0)))
            arrived = await asyncio.wait_for(received.get(), 5)
    assert arrived.envelope.sender == 'e1'
    assert arrived.envelope.sender_address == first
    assert arrived.envelope.body == messages.RelayPull(sent_at=2.0)


@pytest.mark.parametrize('address', ['a\0b:80', '127.0.0.1/x:80', '127.0.0.1:65536', 'nowhere'])
async def test_message_to_unusable_address_is_dropped(address, addresses):
    """Peers name addresses in their messages; an odd one must not end this process."""
    metrics = Metrics(dict)
    identity = Identity('default', 'c1', 'c1-1', next(addresses))
    transport = Transport(
        identity.address, identity, AddressTranslation({}), metrics, list().append
    )
    async with transport:
        transport.send(Send('e1', address, messages.RelayPull(sent_at=1.0)))
    assert b'message_not_sent' in metrics.render('text/plain').body


async def test_messages_to_unreachable_peer_are_dropped(addresses):
    """A process that waits for an unreachable peer cannot serve the others."""
    address, unreachable = (next(addresses) for _ in range(2))

    transport = _build_transport('e1', address, unreachable, list().append)
    async with transport:
        for _ in range(500):
            transport.send(Send('c1', _ADVERTISED_ADDRESS, messages.RelayPull(sent_at=1.0)))
        transport.send(Send('c1', 'no address', messages.RelayPull(sent_at=1.0)))
        rendered = transport._metrics.render('*/*').body.decode()
    assert 'message_dropped' in rendered
    assert 'message_not_sent' in rendered


def test_compression_is_lossless_and_shrinks_lease_request():
    """An entry may send 5 KB/s to control, so field names must not make up most of its messages."""
    reports = tuple(
        messages.TargetReport(
            group='tickets',
            instance=f'tickets-{number}',
            reachability=messages.Reachability.reachable,
            for_s=1.5,
        )
        for number in range(9)
    )
    body = messages.LeaseRequest(
        sent_at=1.0,
        address='10.0.0.1:7000',
        availability_zone='kigali',
        applied_index=5,
        revision=4,
        reports=reports,
    )
    identity = Identity('default', 'e1', 'e1-1', '10.0.0.1:7000')
    encoded = messages.encode(identity.build_envelope(Send('c1', _ADVERTISED_ADDRESS, body)))
    assert decompress(compress(encoded)) == encoded
    assert len(compress(encoded)) < len(encoded) / 3
    assert decompress(encoded) == encoded
