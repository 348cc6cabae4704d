"""HTTP administration interface of a stand-in target."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeVar

import msgspec
from aiohttp import web

from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._orders import FollowBody, OrderExecutor, StatusBody, TermBody
from bergamotcart_testkit.target._replication import LONG_POLL_S

_JSON: Final = 'application/json'
Body = TypeVar('Body')


class OrderHandler:
    """Request handler for one kind of order; responds with the status of the instance."""

    def __init__(
        self,
        body_type: type[Body],
        execute: Callable[[Body], Awaitable[StatusBody]],
    ) -> None:
        """Create a handler for one kind of order."""
        self._body_type = body_type
        self._execute = execute

    async def __call__(self, request: web.Request) -> web.Response:
        """Decode and execute one order."""
        try:
            order = msgspec.json.decode(await request.read(), type=self._body_type)
        except msgspec.MsgspecError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        status = await self._execute(order)
        return _json_response(status, HTTPStatus.OK if status.accepted else HTTPStatus.CONFLICT)


class AdminServer:
    """Serves orders, the log for replicas, and the records and history for tests."""

    def __init__(self, instance: Instance, orders: OrderExecutor) -> None:
        """Create a server for one instance."""
        self._instance = instance
        self._orders = orders

    def application(self) -> web.Application:
        """Return the HTTP application with all routes."""
        orders = self._orders
        application = web.Application()
        application.add_routes(
            (
                web.get('/status', self._status),
                web.post('/stop-following', OrderHandler(TermBody, orders.stop_following)),
                web.post('/promote', OrderHandler(TermBody, orders.promote)),
                web.post('/follow', OrderHandler(FollowBody, orders.follow)),
                web.post('/leave', self._leave),
                web.post('/settings', self._settings),
                web.get('/log', self._log),
                web.get('/records', self._records),
                web.get('/orders', self._get_orders),
                web.get('/history', self._history),
            )
        )
        return application

    async def _status(self, request: web.Request) -> web.Response:
        return _json_response(self._orders.status())

    async def _leave(self, request: web.Request) -> web.Response:
        self._instance.leave()
        return _json_response(self._orders.status())

    async def _settings(self, request: web.Request) -> web.Response:
        changes: dict[str, float] = msgspec.json.decode(await request.read(), type=dict[str, float])
        tuning = self._instance.tuning
        for name, value in changes.items():
            if name not in tuning.__slots__:
                return web.Response(status=HTTPStatus.BAD_REQUEST, text=f'unknown setting {name!r}')
            setattr(tuning, name, type(getattr(tuning, name))(value))
        self._instance.state_changed.notify()
        return _json_response(self._orders.status())

    async def _log(self, request: web.Request) -> web.Response:
        """Return the records after a position; long-poll while there are none."""
        instance = self._instance
        query = request.query
        term = int(query['term'])
        log_term, position = int(query['log_term']), int(query['position'])
        if not _serves_log(instance, term):
            return web.Response(status=HTTPStatus.CONFLICT, text=f'not the primary of term {term}')
        if instance.has_position(log_term, position) and instance.position == position:
            await instance.log_changed.wait(LONG_POLL_S)
        if not _serves_log(instance, term):
            return web.Response(status=HTTPStatus.CONFLICT, text=f'not the primary of term {term}')
        return _json_response(instance.log_page(log_term, position))

    async def _records(self, request: web.Request) -> web.Response:
        """Return the records after a position, on a primary or a replica, for tests."""
        return _json_response(self._instance.records_after(int(request.query.get('after', '0'))))

    async def _get_orders(self, request: web.Request) -> web.Response:
        return _json_response(self._orders.events)

    async def _history(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        return _json_response(self._instance.history.events[after:])


def _serves_log(instance: Instance, term: int) -> bool:
    return instance.is_primary and instance.term == term


def _json_response(body: object, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    return web.Response(body=msgspec.json.encode(body), content_type=_JSON, status=status)
