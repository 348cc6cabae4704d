"""Loop that drives one engine."""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Any, Final, Protocol

from mode import Service

# An engine that asks for a tick in the past must not keep the event loop busy.
_MIN_TICK_S: Final = 0.001
# The probes, renewals and pulls of an entry run a few times a second. Within this time, those
# that fall due one after the other wake the process once.
_MAX_SLACK_S: Final = 0.064


class Outbox(Protocol):
    """Result of a step of either engine."""

    actions: tuple[Any, ...]
    next_tick: float


class Engine(Protocol):
    """What both engines have in common."""

    def step(self, now: float, inbox: tuple[Any, ...]) -> Outbox:
        """Handle inputs and elapsed time."""


class EngineLoop(Service):
    """Steps an engine as soon as inputs arrive, and at the time that the engine asks for.

    All inputs that arrive in one turn of the event loop go into one step. A fault in
    the engine crashes the process: its state can no longer be trusted, and every
    promise of the system holds across a restart.
    """

    def __init__(self, engine: Engine, slack_share: float = 0) -> None:
        """Keep the engine.

        :param slack_share: share of its remaining time by which a tick may come late.
        """
        super().__init__()
        self._engine = engine
        self._slack_share = slack_share
        self._handlers: Mapping[type, Callable[[Any], None]] = {}
        self._inbox: list[Any] = []
        self._step_planned = False
        self._tick: asyncio.TimerHandle | None = None
        self._running: asyncio.AbstractEventLoop | None = None

    async def on_start(self) -> None:
        """Run the first step."""
        self._running = asyncio.get_running_loop()
        self.exit_stack.callback(self._cancel_tick)
        self._plan_step()

    def register(self, handlers: Mapping[type, Callable[[Any], None]]) -> None:
        """Set the functions that carry out each type of action, without blocking."""
        self._handlers = handlers

    def submit(self, received: Any) -> None:
        """Add an input; the engine steps in this turn of the event loop."""
        self._inbox.append(received)
        self._plan_step()

    def _plan_step(self) -> None:
        if self._step_planned or self._running is None:
            return
        self._step_planned = True
        self._running.call_soon(self._run_step)

    def _run_step(self) -> None:
        self._step_planned = False
        if self.should_stop:
            return
        inbox = tuple(self._inbox)
        self._inbox.clear()
        try:
            outbox = self._engine.step(self._running.time(), inbox)
        except Exception as error:
            self._fail(error)
            return
        self._plan_tick(outbox.next_tick)
        for action in outbox.actions:
            self._carry_out(action)

    def _carry_out(self, action: Any) -> None:
        try:
            self._handlers[type(action)](action)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        self._cancel_tick()
        self.add_future(self.crash(error))

    def _plan_tick(self, next_tick: float) -> None:
        now = self._running.time()
        when = max(next_tick, now + _MIN_TICK_S)
        slack = min((when - now) * self._slack_share, _MAX_SLACK_S)
        if slack > _MIN_TICK_S:
            when = _round_up(when, slack)
        if self._tick is not None:
            if self._tick.when() == when:
                return
            self._tick.cancel()
        self._tick = self._running.call_at(when, self._run_tick)

    def _run_tick(self) -> None:
        self._tick = None
        self._plan_step()

    def _cancel_tick(self) -> None:
        if self._tick is not None:
            self._tick.cancel()


def _round_up(when: float, slack: float) -> float:
    """Return the next multiple of the greatest power of two that is within the slack."""
    if math.isinf(when):
        return when
    grid = 2.0 ** math.floor(math.log2(slack))
    return math.ceil(when / grid) * grid
