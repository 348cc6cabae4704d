"""HTTP clients of the processes of a deployment."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import aiohttp
import msgspec

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.relay import LinkChange, LinkReset, LinkSettings, LinkState
from bergamotcart_testkit.target import Event, LogPage, LogRecord, OrderEvent

_TIMEOUT: Final = aiohttp.ClientTimeout(total=5.0)
UNREACHABLE: Final = (aiohttp.ClientError, TimeoutError, OSError)


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status that an instance reports."""

    group: str
    instance: str
    role: str
    term: int
    log_term: int
    position: int
    following: str | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """Response of an HTTP interface."""

    status: int
    body: bytes

    def json(self) -> dict[str, object]:
        """Return the body, decoded from JSON."""
        return msgspec.json.decode(self.body, type=dict[str, object])

    @property
    def is_ok(self) -> bool:
        """Whether the request was accepted."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


class HttpClient:
    """Sends HTTP requests to processes, each with a time-out of 5 s."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use a session that the caller closes."""
        self._session = session

    async def get(self, address: Address, path: str, token: str = '') -> Reply:
        """Send a GET request."""
        return await self._request('GET', address, path, token, None)

    async def post(
        self, address: Address, path: str, body: object = None, token: str = ''
    ) -> Reply:
        """Send a POST request with a JSON body."""
        return await self._request('POST', address, path, token, msgspec.json.encode(body or {}))

    async def try_get(self, address: Address, path: str, token: str = '') -> Reply | None:
        """Send a GET request; ``None`` means that no process answered."""
        try:
            return await self.get(address, path, token)
        except UNREACHABLE:
            return None

    async def _request(
        self, method: str, address: Address, path: str, token: str, content: bytes | None
    ) -> Reply:
        headers = {'Content-Type': 'application/json'}
        if token:
            headers['Authorization'] = f'Bearer {token}'
        async with self._session.request(
            method,
            f'http://{address}{path}',
            data=content,
            headers=headers,
            timeout=_TIMEOUT,
        ) as response:
            return Reply(response.status, await response.read())


class TargetClient:
    """Client of the administration address of a stand-in target, without a relay in between."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        """Prepare a client of one target."""
        self._http = http
        self._address = address

    async def status(self) -> TargetStatus | None:
        """Return the status, or ``None`` if the target does not answer."""
        reply = await self._http.try_get(self._address, '/status')
        return msgspec.json.decode(reply.body, type=TargetStatus) if reply else None

    async def configure(self, **tuning: float) -> None:
        """Change fields of ``Tuning`` at run time."""
        await self._http.post(self._address, '/settings', tuning)

    async def leave(self) -> None:
        """Make the target announce that it is leaving its group."""
        await self._http.post(self._address, '/leave')

    async def history(self, after: int = 0) -> list[Event]:
        """Return the executed statements."""
        reply = await self._http.get(self._address, f'/history?after={after}')
        return msgspec.json.decode(reply.body, type=list[Event])

    async def orders(self) -> list[OrderEvent]:
        """Return the orders that arrived since the target started."""
        reply = await self._http.get(self._address, '/orders')
        return msgspec.json.decode(reply.body, type=list[OrderEvent])

    async def log(self) -> list[LogRecord]:
        """Return all records of the log."""
        records: list[LogRecord] = []
        while True:
            reply = await self._http.get(self._address, f'/records?after={len(records)}')
            page = msgspec.json.decode(reply.body, type=LogPage)
            if not page.records:
                return records
            records.extend(page.records)


class RelayClient:
    """Changes the links of a relay."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        """Prepare a client of one relay."""
        self._http = http
        self._address = address

    async def change(self, pattern: str, settings: LinkSettings) -> None:
        """Apply settings to the matching links."""
        change = LinkChange(pattern=pattern, settings=settings)
        reply = await self._http.post(self._address, '/settings', change)
        _require_match(reply, pattern)

    async def links(self) -> list[LinkState]:
        """Return all links with their counters."""
        reply = await self._http.get(self._address, '/links')
        return msgspec.json.decode(reply.body, type=list[LinkState])

    async def reset(self, pattern: str) -> None:
        """Reset the connections of the matching links."""
        reply = await self._http.post(self._address, '/reset', LinkReset(pattern=pattern))
        _require_match(reply, pattern)


def _require_match(reply: Reply, pattern: str) -> None:
    if not reply.is_ok:
        raise LookupError(f'relay answered {reply.status}: no link matches {pattern!r}')
