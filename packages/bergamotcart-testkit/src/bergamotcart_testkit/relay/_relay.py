"""Relay with several links, whose settings can be changed over HTTP at run time."""

from fnmatch import fnmatchcase
from http import HTTPStatus

import msgspec
from aiohttp import web

from bergamotcart_testkit.relay._link import Link
from bergamotcart_testkit.relay._settings import LinkAddress, LinkChange, LinkReset, LinkSettings


class Relay:
    """Relays TCP connections and injects faults.

    Use it as an asynchronous context manager, so that every link is closed.
    """

    def __init__(self, settings: LinkSettings, seed: int = 0) -> None:
        """Create a relay without links.

        :param settings: initial settings of each link that is added.
        :param seed: seed of the jitter.
        """
        self._settings = settings
        self._seed = seed
        self._links: dict[str, Link] = {}

    async def __aenter__(self) -> 'Relay':
        """Return the relay."""
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop()

    @property
    def links(self) -> tuple[Link, ...]:
        """All links."""
        return tuple(self._links.values())

    async def add(self, address: LinkAddress) -> Link:
        """Add a link and start to listen at its address."""
        link = Link(address, self._settings, self._seed)
        await link.start()
        self._links[link.name] = link
        return link

    def change(self, change: LinkChange) -> int:
        """Change the settings of the matching links.

        :returns: number of matching links.
        """
        matching = self._matching_links(change.pattern)
        for link in matching:
            link.change(change.settings)
        return len(matching)

    def reset(self, selection: LinkReset) -> int:
        """Reset the connections of the matching links.

        :returns: number of matching links.
        """
        matching = self._matching_links(selection.pattern)
        for link in matching:
            link.reset()
        return len(matching)

    def silence(self, selection: LinkReset) -> int:
        """Discard all further bytes of the open connections of the matching links.

        :returns: number of matching links.
        """
        matching = self._matching_links(selection.pattern)
        for link in matching:
            link.silence()
        return len(matching)

    def application(self) -> web.Application:
        """Return the HTTP application that changes the links."""
        application = web.Application()
        application.add_routes(
            (
                web.get('/links', self._get_links),
                web.post('/links', self._post_links),
                web.post('/settings', self._post_settings),
                web.post('/reset', self._post_reset),
            )
        )
        return application

    def _matching_links(self, pattern: str) -> list[Link]:
        return [link for name, link in self._links.items() if fnmatchcase(name, pattern)]

    async def _get_links(self, request: web.Request) -> web.Response:
        return _json_response([link.state() for link in self.links])

    async def _post_links(self, request: web.Request) -> web.Response:
        for address in msgspec.json.decode(await request.read(), type=list[LinkAddress]):
            await self.add(address)
        return _json_response(len(self._links))

    async def _post_settings(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=LinkChange)
        return _match_count_response(self.change(change))

    async def _post_reset(self, request: web.Request) -> web.Response:
        reset = msgspec.json.decode(await request.read(), type=LinkReset)
        return _match_count_response(self.reset(reset))


def _match_count_response(match_count: int) -> web.Response:
    """Return a response with the number of matching links; 404 if the pattern matches none."""
    return _json_response(match_count, HTTPStatus.OK if match_count else HTTPStatus.NOT_FOUND)


def _json_response(body: object, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    content = msgspec.json.encode(body)
    return web.Response(body=content, content_type='application/json', status=status)
