"""Requests of operators on their way to the engine and back."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from bergamotcart.control import OperatorCommand, OperatorReply, OperatorRequest

# Longer than an election and a commit; the operator may resend a change afterwards.
REPLY_TIMEOUT_S: Final = 5.0


class OperatorGateway:
    """Passes operators' requests to the engine and waits for its answers.

    :param submit: takes the requests.
    """

    __slots__ = ('_pending', '_request_ids', '_submit')

    def __init__(self, submit: Callable[[OperatorRequest], None]) -> None:
        """Start without requests."""
        self._submit = submit
        self._request_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[OperatorReply]] = {}

    def reply(self, action: OperatorReply) -> None:
        """Answer a request; one that has timed out gets no answer any more."""
        answer = self._pending.get(action.request_id)
        if answer is not None and not answer.done():
            answer.set_result(action)

    async def ask(
        self,
        command: OperatorCommand,
        token: str,
        body: dict[str, object],
        timeout_s: float = REPLY_TIMEOUT_S,
    ) -> OperatorReply | None:
        """Ask the engine.

        :param token: bearer token of the operator, or empty.
        :param timeout_s: seconds to wait for the answer.
        :returns: the answer, or ``None`` if none came in time; a change may be accepted then.
        """
        request_id = next(self._request_ids)
        answer: asyncio.Future[OperatorReply] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        self._submit(
            OperatorRequest(request_id=request_id, command=command, token=token, body=body),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return None
        finally:
            self._pending.pop(request_id)
