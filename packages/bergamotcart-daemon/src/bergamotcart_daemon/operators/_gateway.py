"""Passes requests of operators to the engine and returns its replies."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from bergamotcart.control import OperatorCommand, OperatorReply, OperatorRequest

# Longer than an election and a commit take together. After a timeout, an operator may send a
# change again.
REPLY_TIMEOUT_S: Final = 5.0


class OperatorGateway:
    """Submits operators' requests to the engine and waits for its replies.

    :param submit: called with each request.
    """

    __slots__ = ('_pending_replies', '_request_ids', '_submit')

    def __init__(self, submit: Callable[[OperatorRequest], None]) -> None:
        """Create a gateway without pending requests."""
        self._submit = submit
        self._request_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[OperatorReply]] = {}

    def reply(self, action: OperatorReply) -> None:
        """Deliver the reply to a request; ignored if the request has timed out."""
        reply_future = self._pending_replies.get(action.request_id)
        if reply_future is not None and not reply_future.done():
            reply_future.set_result(action)

    async def send_request(
        self,
        command: OperatorCommand,
        token: str,
        body: dict[str, object],
        timeout_s: float = REPLY_TIMEOUT_S,
    ) -> OperatorReply | None:
        """Submit a request to the engine and wait for its reply.

        :param token: bearer token of the operator, or empty.
        :param timeout_s: seconds to wait for the reply.
        :returns: the reply, or ``None`` after a time-out; a change may still have been accepted.
        """
        request_id = next(self._request_ids)
        reply_future: asyncio.Future[OperatorReply] = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = reply_future
        self._submit(
            OperatorRequest(request_id=request_id, command=command, token=token, body=body),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await reply_future
        except TimeoutError:
            return None
        finally:
            self._pending_replies.pop(request_id)
