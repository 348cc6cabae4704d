"""Requests to control processes, each tried on one server after the other."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import aiohttp
import msgspec

_REQUEST_TIMEOUT_S: Final = 8.0
_CONNECT_TIMEOUT_S: Final = 2.0
# An election takes less than a second, so a few rounds outlast it.
_ROUNDS: Final = 4
_ROUND_PAUSE_S: Final = 0.5
_BAD_REQUEST: Final = 400
_RETRIED: Final = frozenset((421, 502, 503, 504))


class ControlError(Exception):
    """A request did not succeed."""


class UnreachableError(ControlError):
    """No server gave a definite answer.

    :param sent: whether a server may have carried out the request all the same.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Keep whether the request may have been carried out."""
        super().__init__(message)
        self.sent = sent


class RefusedError(ControlError):
    """A server refused the request; ``body`` says why."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        """Keep the answer."""
        super().__init__(f'refused with status {status}')
        self.status = status
        self.body = body


@dataclass(frozen=True, slots=True)
class Answer:
    """A definite answer of a server."""

    status: int
    body: dict[str, object]


class ControlClient:
    """Sends requests with the operator's token.

    :param servers: addresses of control processes, as ``host:port``.
    """

    def __init__(self, servers: Sequence[str], token: str) -> None:
        """Keep the parameters; each request opens its own connection."""
        self._servers = tuple(servers)
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}

    async def get(self, path: str) -> dict[str, object]:
        """Read a resource.

        :raises ControlError: if it cannot be read.
        """
        return await self._request('GET', path, None)

    async def post(self, path: str, body: dict[str, object]) -> dict[str, object]:
        """Send a request that may be repeated with the same body.

        :raises ControlError: if it is refused or its outcome is unknown.
        """
        return await self._request('POST', path, msgspec.json.encode(body))

    async def _request(self, method: str, path: str, body: bytes | None) -> dict[str, object]:
        faults: list[str] = []
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session:
            for round_number in range(_ROUNDS):
                if round_number:
                    await asyncio.sleep(_ROUND_PAUSE_S)
                faults.clear()
                answer = await self._try_servers(session, method, path, body, faults)
                if answer is not None:
                    return _check(answer)
        sent = any('cannot connect' not in fault for fault in faults)
        raise UnreachableError('; '.join(faults), sent=sent)

    async def _try_servers(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: bytes | None,
        faults: list[str],
    ) -> Answer | None:
        """Return the first answer; add why each server before it gave none to ``faults``."""
        for server in self._servers:
            answer = await _try_server(session, method, f'http://{server}{path}', body)
            if isinstance(answer, Answer):
                return answer
            faults.append(f'{server}: {answer}')
        return None


async def _try_server(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None,
) -> Answer | str:
    try:
        async with session.request(method, url, data=body) as response:
            return _read(response.status, await response.read())
    except aiohttp.ClientConnectorError as error:
        return f'cannot connect ({error.os_error.strerror or error.os_error})'
    except (aiohttp.ClientError, OSError) as error:
        return f'no answer ({type(error).__name__})'


def _read(status: int, text: bytes) -> Answer | str:
    try:
        decoded = msgspec.json.decode(text, type=dict[str, object])
    except ValueError:
        return f'answer is not JSON (status {status})'
    if status in _RETRIED:
        return str(decoded.get('error', f'status {status}'))
    return Answer(status, decoded)


def _check(answer: Answer) -> dict[str, object]:
    if answer.status >= _BAD_REQUEST:
        raise RefusedError(answer.status, answer.body)
    return answer.body
