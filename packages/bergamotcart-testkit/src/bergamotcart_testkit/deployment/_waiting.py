"""Polling of conditions, with a time-out."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

# Time after which a run counts as hung; no measurement depends on it.
HANG_TIMEOUT_S: Final = 60.0
_POLL_INTERVAL_S: Final = 0.05
Result = TypeVar('Result')


class ConditionError(AssertionError):
    """A condition did not become true in time."""


async def wait_until(
    condition: Callable[[], Awaitable[Result | None]],
    description: str,
    timeout_s: float = HANG_TIMEOUT_S,
    poll_s: float = _POLL_INTERVAL_S,
) -> Result:
    """Poll a condition until it returns a true value, and return that value.

    :param description: condition, as the error message states it.
    :param timeout_s: seconds after which the run counts as hung.
    :param poll_s: seconds between two checks of the condition.
    :raises ConditionError: if the condition did not become true in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while loop.time() < deadline:
        result = await condition()
        if result:
            return result
        await asyncio.sleep(poll_s)
    raise ConditionError(f'condition not met within {timeout_s:g} s: {description}')
