"""Tests of orders whose answers are missing or malformed."""

import logging

import pytest
from aiohttp import web

from bergamotcart.control import Order, OrderKind
from bergamotcart_daemon.addresses import AddressTranslation
from bergamotcart_daemon.http_admin import HttpTargetAdmin


async def _respond_unavailable(request: web.Request) -> web.Response:
    return web.Response(status=503)


async def _respond_malformed(request: web.Request) -> web.Response:
    return web.Response(text='not JSON')


async def _respond_deeply_nested(request: web.Request) -> web.Response:
    return web.Response(text=f'{{"unknown": {"[" * 9999}')


async def _send_status_order(address: str) -> object:
    order = Order(
        order_id=1,
        kind=OrderKind.status,
        group='tickets',
        instance='db-1',
        admin_address=address,
        term=1,
    )
    async with HttpTargetAdmin(AddressTranslation({})) as admin:
        return await admin.send(order)


async def test_unreachable_target_is_logged(addresses, caplog):
    """Without a line, an operator sees a switchover that waits and no reason for it."""
    caplog.set_level(logging.INFO)
    address = next(addresses)
    assert await _send_status_order(address) is None
    assert f'order status to instance db-1 at {address} failed' in caplog.text


@pytest.mark.parametrize(
    'respond', [_respond_unavailable, _respond_malformed, _respond_deeply_nested]
)
async def test_malformed_answer_is_logged(respond, addresses, caplog):
    """A proxy in front of the target may answer in its place."""
    caplog.set_level(logging.INFO)
    address = next(addresses)
    host, _, port = address.rpartition(':')

    application = web.Application()
    application.add_routes([web.get('/status', respond)])
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    assert await _send_status_order(address) is None
    await runner.cleanup()
    assert f'order status to instance db-1 at {address} failed' in caplog.text
