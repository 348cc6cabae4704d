"""Guards against lost inputs, late ticks and an engine that goes on after a fault."""

import asyncio
from dataclasses import dataclass

from bergamotcart_daemon.runtime import EngineLoop


@dataclass(slots=True)
class _Outbox:
    actions: tuple[object, ...] = ()
    next_tick: float = float('inf')


@dataclass(slots=True)
class _Step:
    now: float
    inbox: tuple[object, ...]


class _Engine:
    def __init__(self, tick_after_s: float = 3600.0) -> None:
        self.steps: list[_Step] = []
        self._tick_after_s = tick_after_s

    def step(self, now: float, inbox: tuple[object, ...]) -> _Outbox:
        self.steps.append(_Step(now, inbox))
        if 'fault' in inbox:
            raise ValueError('fault')
        return _Outbox(inbox, now + self._tick_after_s)


async def _drive(engine: _Engine, *inbox: str) -> bool:
    carried_out: list[object] = []
    service = EngineLoop(engine)
    service.register({str: carried_out.append})
    async with service:
        await asyncio.sleep(0)
        for received in inbox:
            service.submit(received)
        await asyncio.sleep(0.1)
        crashed = service.crashed
    assert carried_out == [received for received in inbox if received != 'fault']
    return crashed


async def test_inputs_of_one_turn_go_into_one_step_in_order():
    """Inputs out of order could close a session before it is opened."""
    engine = _Engine()
    await _drive(engine, 'a', 'b')
    assert [step.inbox for step in engine.steps] == [(), ('a', 'b')]


async def test_the_engine_is_stepped_again_at_its_tick():
    """A timeout must run out although no input arrives."""
    engine = _Engine(tick_after_s=0.01)
    await _drive(engine)
    assert len(engine.steps) > 2
    times = [step.now for step in engine.steps]
    assert times == sorted(times)


async def test_a_fault_in_the_engine_crashes_the_service():
    """An engine in an unknown state must not acknowledge anything."""
    engine = _Engine(tick_after_s=0.01)
    assert await _drive(engine, 'fault')
    assert engine.steps[-1].inbox == ('fault',)
