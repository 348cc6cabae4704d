"""Guards against leases and ages that stand still while the VM is suspended."""

import time

import pytest

from bergamotcart_daemon.runtime import _daemon as daemon

_SUSPENSION_S = 60.0


class _Clocks:
    """The clock that counts suspensions runs ahead of the steady one."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._read = time.clock_gettime

    def read(self, clock: int) -> float:
        """Return the time of a clock."""
        ahead = self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return self._read(clock) + ahead


@pytest.fixture
def clocks(monkeypatch):
    """Clocks that a test sets apart."""
    apart = _Clocks()
    monkeypatch.setattr(time, 'clock_gettime', apart.read)
    return apart


def test_the_clock_of_the_engine_counts_a_suspension(clocks):
    """A lease that outlives its holder's sleep would let it answer from a replaced primary."""
    before = daemon.read_clock()
    steady = time.monotonic()
    clocks.suspended_s = _SUSPENSION_S
    assert daemon.read_clock() - before >= _SUSPENSION_S
    assert time.monotonic() - steady < _SUSPENSION_S


def test_timers_that_fell_due_in_a_suspension_run_at_once_after_it(clocks):
    """The event loop and the engine must agree on the time."""
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
