"""Tests that no input is lost, ticks are on time, and an exception stops the engine."""

import asyncio
from dataclasses import dataclass

from bergamotcart_daemon.runtime import EngineLoop


@dataclass(slots=True)
class _StepResult:
    actions: tuple[object, ...] = ()
    next_tick: float = float('inf')


@dataclass(slots=True)
class _Step:
    now: float
    pending_inputs: tuple[object, ...]


class _Engine:
    def __init__(self, tick_after_s: float = 3600.0) -> None:
        self.steps: list[_Step] = []
        self._tick_after_s = tick_after_s

    def step(self, now: float, pending_inputs: tuple[object, ...]) -> _StepResult:
        self.steps.append(_Step(now, pending_inputs))
        if 'fault' in pending_inputs:
            raise ValueError('fault')
        return _StepResult(pending_inputs, now + self._tick_after_s)


async def _run_engine(engine: _Engine, *pending_inputs: str) -> bool:
    executed_actions: list[object] = []
    service = EngineLoop(engine)
    service.set_action_handlers({str: executed_actions.append})
    async with service:
        await asyncio.sleep(0)
        for engine_input in pending_inputs:
            service.submit(engine_input)
        await asyncio.sleep(0.1)
        crashed = service.crashed
    assert executed_actions == [
        engine_input for engine_input in pending_inputs if engine_input != 'fault'
    ]
    return crashed


async def test_inputs_of_one_iteration_share_step():
    """Inputs keep their order; otherwise a session could be closed before it is opened."""
    engine = _Engine()
    await _run_engine(engine, 'a', 'b')
    assert [step.pending_inputs for step in engine.steps] == [(), ('a', 'b')]


async def test_tick_runs_step_without_input():
    """The engine gets its steps for timeouts even if no input arrives."""
    engine = _Engine(tick_after_s=0.01)
    await _run_engine(engine)
    assert len(engine.steps) > 2
    times = [step.now for step in engine.steps]
    assert times == sorted(times)


async def test_engine_exception_crashes_service():
    """After an exception, an engine runs no further step and acknowledges nothing."""
    engine = _Engine(tick_after_s=0.01)
    assert await _run_engine(engine, 'fault')
    assert engine.steps[-1].pending_inputs == ('fault',)
