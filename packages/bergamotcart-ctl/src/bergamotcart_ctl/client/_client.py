"""Sends requests to control processes; each request tries the servers in order."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import aiohttp
import msgspec

_REQUEST_TIMEOUT_S: Final = 8.0
_CONNECT_TIMEOUT_S: Final = 2.0
# An election takes less than a second, which is shorter than these rounds with their pauses.
_MAX_ROUNDS: Final = 4
_ROUND_PAUSE_S: Final = 0.5
_MIN_ERROR_STATUS: Final = 400
_RETRIED_STATUSES: Final = frozenset((421, 502, 503, 504))


class ControlError(Exception):
    """A request failed."""


class UnreachableError(ControlError):
    """No server gave a definite response.

    :param maybe_executed: whether a server may have executed the request nevertheless, according
        to the last round of attempts.
    """

    def __init__(self, message: str, *, maybe_executed: bool) -> None:
        """Initialize the error with the failure of each server as its message."""
        super().__init__(message)
        self.maybe_executed = maybe_executed


class RefusedError(ControlError):
    """A server refused the request; ``body`` is its response with the reasons."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        """Initialize the error with the HTTP status and the decoded response body."""
        super().__init__(f'request refused with HTTP status {status}')
        self.status = status
        self.body = body


@dataclass(frozen=True, slots=True)
class Response:
    """A definite response of a server, either a success or a refusal."""

    status: int
    body: dict[str, object]


class ControlClient:
    """Sends requests to control processes with the operator token.

    :param servers: addresses of control processes, as ``host:port``.
    """

    def __init__(self, servers: Sequence[str], token: str) -> None:
        """Store the parameters; each request opens its own connections."""
        self._servers = tuple(servers)
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}

    async def get(self, path: str) -> dict[str, object]:
        """Read a resource.

        :raises ControlError: if it cannot be read.
        """
        return await self._request('GET', path, None)

    async def post(self, path: str, body: dict[str, object]) -> dict[str, object]:
        """Send a request that is safe to repeat with the same body.

        :raises ControlError: if it is refused or its outcome is unknown.
        """
        return await self._request('POST', path, msgspec.json.encode(body))

    async def _request(self, method: str, path: str, body: bytes | None) -> dict[str, object]:
        failures: list[str] = []
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session:
            for round_number in range(_MAX_ROUNDS):
                if round_number:
                    await asyncio.sleep(_ROUND_PAUSE_S)
                failures.clear()
                response = await self._try_servers(session, method, path, body, failures)
                if response is not None:
                    return _check_status(response)
        maybe_executed = any('cannot connect' not in failure for failure in failures)
        raise UnreachableError('; '.join(failures), maybe_executed=maybe_executed)

    async def _try_servers(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: bytes | None,
        failures: list[str],
    ) -> Response | None:
        """Return the first response; append the failure of each server before it to ``failures``."""
        for server in self._servers:
            response = await _try_server(session, method, f'http://{server}{path}', body)
            if isinstance(response, Response):
                return response
            failures.append(f'{server}: {response}')
        return None


async def _try_server(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None,
) -> Response | str:
    try:
        async with session.request(method, url, data=body) as http_response:
            return _decode_response(http_response.status, await http_response.read())
    except aiohttp.ClientConnectorError as error:
        return f'cannot connect ({error.os_error.strerror or error.os_error})'
    except (aiohttp.ClientError, OSError) as error:
        return f'no response ({type(error).__name__})'


def _decode_response(status: int, text: bytes) -> Response | str:
    try:
        decoded = msgspec.json.decode(text, type=dict[str, object])
    except ValueError:
        return f'response is not a JSON object (HTTP status {status})'
    if status in _RETRIED_STATUSES:
        return str(decoded.get('error', f'HTTP status {status}'))
    return Response(status, decoded)


def _check_status(response: Response) -> dict[str, object]:
    if response.status >= _MIN_ERROR_STATUS:
        raise RefusedError(response.status, response.body)
    return response.body
