"""Service that runs the steps of one engine."""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Any, Final, Protocol

from mode import Service

# Minimum delay of a tick, so that an engine that requests a tick in the past does not keep the
# event loop busy.
_MIN_TICK_DELAY_S: Final = 0.001
# The probes, renewals and pulls of an entry run a few times a second. Ticks that are due within
# this time of each other are combined, so that they wake the process once.
_MAX_TICK_SLACK_S: Final = 0.064


class StepResult(Protocol):
    """Result of a step of an engine.

    :ivar actions: actions to carry out, in this order.
    :ivar next_tick: time, in seconds, at which the engine needs its next step.
    """

    actions: tuple[Any, ...]
    next_tick: float


class Engine(Protocol):
    """Interface of the engines of both roles."""

    def step(self, now: float, pending_inputs: tuple[Any, ...]) -> StepResult:
        """Process inputs and elapsed time.

        :param now: time of the engine, in seconds.
        :param pending_inputs: inputs since the previous step, in order of arrival.
        """


class EngineLoop(Service):
    """Runs a step of an engine when inputs arrive, and at the time that the engine requests.

    All inputs that arrive in one iteration of the event loop go into one step. An exception in
    the engine crashes the process: the state of the engine may be inconsistent afterwards, while
    a restart violates no guarantee of the system.
    """

    def __init__(self, engine: Engine, slack_share: float = 0) -> None:
        """Store the engine.

        :param slack_share: share of the time until a tick by which the tick may be late.
        """
        super().__init__()
        self._engine = engine
        self._slack_share = slack_share
        self._handlers: Mapping[type, Callable[[Any], None]] = {}
        self._pending_inputs: list[Any] = []
        self._step_scheduled = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._event_loop: asyncio.AbstractEventLoop | None = None

    async def on_start(self) -> None:
        """Run the first step."""
        self._event_loop = asyncio.get_running_loop()
        self.exit_stack.callback(self._cancel_tick)
        self._schedule_step()

    def set_action_handlers(self, handlers: Mapping[type, Callable[[Any], None]]) -> None:
        """Set the handler of each type of action; handlers must not block."""
        self._handlers = handlers

    def submit(self, engine_input: Any) -> None:
        """Add an input for the next step, which the event loop runs at its next iteration."""
        self._pending_inputs.append(engine_input)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self._step_scheduled or self._event_loop is None:
            return
        self._step_scheduled = True
        self._event_loop.call_soon(self._run_step)

    def _run_step(self) -> None:
        self._step_scheduled = False
        if self.should_stop:
            return
        inputs = tuple(self._pending_inputs)
        self._pending_inputs.clear()
        try:
            step_result = self._engine.step(self._event_loop.time(), inputs)
        except Exception as error:
            self._crash_on_error(error)
            return
        self._schedule_tick(step_result.next_tick)
        for action in step_result.actions:
            self._dispatch_action(action)

    def _dispatch_action(self, action: Any) -> None:
        try:
            self._handlers[type(action)](action)
        except Exception as error:
            self._crash_on_error(error)

    def _crash_on_error(self, error: Exception) -> None:
        self._cancel_tick()
        self.add_future(self.crash(error))

    def _schedule_tick(self, next_tick: float) -> None:
        now = self._event_loop.time()
        tick_at = max(next_tick, now + _MIN_TICK_DELAY_S)
        slack = min((tick_at - now) * self._slack_share, _MAX_TICK_SLACK_S)
        if slack > _MIN_TICK_DELAY_S:
            tick_at = _round_up_to_power_of_two_multiple(tick_at, slack)
        if self._tick_timer is not None:
            if self._tick_timer.when() == tick_at:
                return
            self._tick_timer.cancel()
        self._tick_timer = self._event_loop.call_at(tick_at, self._run_tick)

    def _run_tick(self) -> None:
        self._tick_timer = None
        self._schedule_step()

    def _cancel_tick(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()


def _round_up_to_power_of_two_multiple(tick_at: float, slack: float) -> float:
    """Round a time up to a multiple of the greatest power of two that is at most the slack."""
    if math.isinf(tick_at):
        return tick_at
    interval = 2.0 ** math.floor(math.log2(slack))
    return math.ceil(tick_at / interval) * interval
