"""Tests that invalid announcements are rejected and that forwarding does not loop."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest

from bergamotcart import messages
from bergamotcart.control._events import OperatorReply, OperatorRequest
from bergamotcart_daemon.announcements import AnnouncementApi
from bergamotcart_daemon.health import Health
from bergamotcart_daemon.http import HttpServer
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.operator_api import OperatorApi
from bergamotcart_daemon.operators import OperatorGateway

_SERVING = Health(serving=True, details={'state': 'serving'})
_ANNOUNCEMENT = messages.Announcement(
    group='tickets',
    instance='a',
    availability_zone='kigali',
    address='127.0.0.1:3306',
    admin_address='127.0.0.1:3307',
    role=messages.TargetRole.primary,
    term=1,
    log_term=1,
    position=5,
    slots=5,
    connection_limit=35,
    incarnation='i',
    sequence=1,
)


@contextlib.asynccontextmanager
async def _serve(
    address: str,
    routes: tuple = (),
    health: Health = _SERVING,
) -> AsyncIterator[aiohttp.ClientSession]:
    async with HttpServer(address, routes, Metrics(dict), lambda: health):
        async with aiohttp.ClientSession(f'http://{address}') as session:
            yield session


class _Member:
    """A control member whose engine answers as a leader or as a follower."""

    def __init__(self, name: str, leader: str, addresses: dict[str, str]) -> None:
        self.name = name
        self.leads = False
        self.tokens: list[str] = []
        self.gateway = OperatorGateway(self._submit)
        self.api = OperatorApi(addresses, lambda: leader, self.gateway)

    def _submit(self, request: OperatorRequest) -> None:
        self.tokens.append(request.token)
        reply = OperatorReply(
            request_id=request.request_id,
            status=200 if self.leads else 421,
            body={'by': self.name},
        )
        asyncio.get_running_loop().call_soon(self.gateway.reply, reply)


@pytest.mark.parametrize(
    ('change', 'status'),
    [
        ({}, 200),
        ({'slots': '5'}, 400),
        ({'slots': 0}, 400),
        ({'extra': 1}, 400),
        ({'address': 'nowhere'}, 400),
        ({'role': 'leader'}, 400),
        ({'group': ''}, 400),
        ({'group': 'g' * 800_000}, 400),
        ({'incarnation': 'i' * 800_000}, 400),
        ({'following': 'f' * 800_000}, 400),
    ],
)
async def test_invalid_announcements_are_rejected(change, status, addresses):
    """A malformed announcement must not add a target to the routing."""
    received: list[object] = []
    api = AnnouncementApi(Metrics(dict), lambda: 12.5, received.append)
    async with _serve(next(addresses), api.build_routes()) as session:
        body = msgspec.to_builtins(_ANNOUNCEMENT) | change
        async with session.post('/announcements', json=body) as response:
            answer = await response.json()
            assert response.status == status
    assert len(received) == int(status == 200)
    assert ('echo' in answer) == bool(received)


async def test_deeply_nested_bodies_are_rejected(addresses):
    """They must not be answered as a fault of this process."""
    announcements = AnnouncementApi(Metrics(dict), lambda: 12.5, list().append)
    operators = _Member('c1', 'c1', {}).api
    body = f'{{"unknown": {"[" * 99_999}'
    routes = (*announcements.build_routes(), *operators.build_routes())
    async with operators, _serve(next(addresses), routes) as session:
        for path in ('/announcements', '/v1/changes'):
            async with session.post(path, data=body) as response:
                assert response.status == 400


async def test_health_is_unavailable_while_draining(addresses):
    """The platform must stop routing callers to a process that shuts down."""
    health = Health(serving=False, details={'state': 'draining'})
    async with _serve(next(addresses), health=health) as session:
        async with session.get('/health') as response:
            assert response.status == 503
            assert await response.json() == {'state': 'draining'}


async def test_follower_forwards_to_leader_without_loop(addresses):
    """Two followers that consider each other the leader must not forward endlessly."""
    first, second = next(addresses), next(addresses)
    operators = {'c1': first, 'c2': second}
    follower = _Member('c1', 'c2', operators)
    leader = _Member('c2', 'c1', operators)
    leader.leads = True
    headers = {'Authorization': 'Bearer t1'}
    async with follower.api, leader.api, _serve(second, leader.api.build_routes()):
        async with _serve(first, follower.api.build_routes()) as session:
            async with session.post('/v1/changes', json={'a': 1}, headers=headers) as response:
                assert await response.json() == {'by': 'c2'}
            assert leader.tokens == ['t1']
            leader.leads = False
            async with session.get('/v1/status') as response:
                assert response.status == 503
