"""Tests of the relay."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bergamotcart_testkit.addresses import Address, free_addresses
from bergamotcart_testkit.relay import Drop, LinkAddress, LinkChange, LinkReset, LinkSettings, Relay

FAULT_FREE = LinkSettings(delay=0.002, jitter=0.005)
HANG_TIMEOUT_S = 10


@asynccontextmanager
async def _echo_through_relay() -> AsyncIterator[tuple[Relay, Address]]:
    free = free_addresses()
    listen, target = next(free), next(free)
    server = await asyncio.start_server(_echo, target.host, target.port)
    async with server, Relay(FAULT_FREE, seed=1) as relay:
        await relay.add(LinkAddress(name='a>b:echo', listen=str(listen), target=str(target)))
        async with asyncio.timeout(HANG_TIMEOUT_S):
            yield relay, listen


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while content := await reader.read(4096):
        writer.write(content)
    writer.close()


async def _connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(address.host, address.port)


async def test_keeps_order_despite_jitter():
    """Guards against a relay that reorders the bytes of a stream."""
    async with _echo_through_relay() as (_, listen):
        reader, writer = await _connect(listen)
        parts = [number.to_bytes(2, 'big') for number in range(200)]
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0)
        assert await reader.readexactly(400) == b''.join(parts)
        writer.close()


@pytest.mark.parametrize('drop', [Drop.both, Drop.to_target, Drop.to_source])
async def test_drop_resets_connection_afterwards(drop: Drop):
    """Guards against a stream that continues with a gap after a drop."""
    async with _echo_through_relay() as (relay, listen):
        reader, writer = await _connect(listen)
        writer.write(b'one')
        assert await reader.readexactly(3) == b'one'
        relay.change(LinkChange(pattern='a>*', settings=LinkSettings(drop=drop)))
        writer.write(b'two')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(3), 0.05)
        relay.change(LinkChange(pattern='a>*', settings=FAULT_FREE))
        with pytest.raises(ConnectionError):
            await reader.readexactly(3)


async def test_caller_closed_during_drop_opens_no_target_connection():
    """Guards against target connections whose caller has already disconnected."""
    async with _echo_through_relay() as (relay, listen):
        relay.change(LinkChange(pattern='*', settings=LinkSettings(drop=Drop.both)))
        _, writer = await _connect(listen)
        writer.close()
        while not relay.links[0].closed_before_connect_count:
            await asyncio.sleep(0)
        relay.change(LinkChange(pattern='*', settings=FAULT_FREE))
        reader, writer = await _connect(listen)
        writer.write(b'new')
        assert await reader.readexactly(3) == b'new'
        assert relay.links[0].state().target_connections == 1
        writer.close()


async def test_hold_delays_bytes():
    """Guards against a relay that drops bytes that it should only delay."""
    async with _echo_through_relay() as (relay, listen):
        reader, writer = await _connect(listen)
        relay.change(LinkChange(pattern='*', settings=LinkSettings(hold=True)))
        writer.write(b'late')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(4), 0.05)
        relay.change(LinkChange(pattern='*', settings=FAULT_FREE))
        assert await reader.readexactly(4) == b'late'
        writer.close()


async def test_refused_target_connection_resets_caller():
    """Guards against a stopped target that looks like a silent one behind the relay."""
    free = free_addresses()
    listen, unused = next(free), next(free)
    async with Relay(FAULT_FREE) as relay, asyncio.timeout(HANG_TIMEOUT_S):
        await relay.add(LinkAddress(name='x', listen=str(listen), target=str(unused)))
        reader, _ = await _connect(listen)
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)


async def test_silence_affects_only_open_connections():
    """Guards against a silence that closes connections or affects new ones."""
    async with _echo_through_relay() as (relay, listen):
        reader, writer = await _connect(listen)
        writer.write(b'one')
        assert await reader.readexactly(3) == b'one'
        assert relay.silence(LinkReset(pattern='a>*')) == 1
        writer.write(b'two')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(3), 0.05)
        other_reader, other_writer = await _connect(listen)
        other_writer.write(b'new')
        assert await other_reader.readexactly(3) == b'new'
        other_writer.close()
        writer.close()
