"""Tests that the clock of the engine and its event loop includes suspensions of the VM."""

import time

import pytest

from bergamotcart_daemon.runtime import _daemon as daemon

_SUSPENSION_S = 60.0


class _SuspendableClocks:
    """Simulates a suspension: advances only the clock that includes suspensions."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._read_real_clock = time.clock_gettime

    def read(self, clock: int) -> float:
        """Return the time of a clock."""
        offset_s = self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return self._read_real_clock(clock) + offset_s


@pytest.fixture
def clocks(monkeypatch):
    """Clocks with a suspension that the test sets."""
    fake_clocks = _SuspendableClocks()
    monkeypatch.setattr(time, 'clock_gettime', fake_clocks.read)
    return fake_clocks


def test_engine_clock_includes_suspension(clocks):
    """A lease must expire during a suspension, or its holder would use a replaced primary."""
    before = daemon.read_clock()
    monotonic_before = time.monotonic()
    clocks.suspended_s = _SUSPENSION_S
    assert daemon.read_clock() - before >= _SUSPENSION_S
    assert time.monotonic() - monotonic_before < _SUSPENSION_S


def test_timers_due_in_suspension_run_after_it(clocks):
    """Timers of the event loop use the engine's clock, so those due in a suspension run after it."""
    loop = daemon.BoottimeEventLoop()
    ran: list[float] = []
    started = loop.time()
    loop.call_later(_SUSPENSION_S / 2, lambda: ran.append(loop.time()))
    clocks.suspended_s = _SUSPENSION_S
    loop.call_soon(loop.stop)
    loop.run_forever()
    loop.call_soon(loop.stop)
    loop.run_forever()
    loop.close()
    assert ran
    assert ran[0] - started >= _SUSPENSION_S
