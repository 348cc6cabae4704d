"""Tests that connections without acknowledgements are detected."""

import time

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart_daemon.transport import Identity
from bergamotcart_daemon.transport._acknowledgements import (
    ACKNOWLEDGEMENT_TIMEOUT_S,
    AcknowledgementTracker,
)

_MESSAGE = messages.RelayPull(sent_at=1.0)
_ENTRY = 'e'
_CONTROL = 'c'
_CLOCK_STEP_NS = 3_600_000_000_000


class _Process:
    """A process that numbers and acknowledges messages."""

    def __init__(self, name: str, incarnation: str = 'first') -> None:
        self.identity = Identity('default', name, incarnation, f'{name}:1')
        self.tracker = AcknowledgementTracker()

    def send(self, peer: str, now: float) -> messages.Envelope:
        numbers = self.tracker.assign_numbers(f'{peer}:1', now)
        return self.identity.build_envelope(Send(peer, f'{peer}:1', _MESSAGE), *numbers)


def test_acknowledging_peer_needs_no_reconnect():
    """A working connection must not be closed."""
    entry, control = _Process('e'), _Process('c')
    for second in range(10):
        control.tracker.record_received(entry.send('c', second), second)
        assert not entry.tracker.needs_reconnect('c:1', second + 0.1)
        entry.tracker.record_received(control.send('e', second + 0.1), second + 0.1)


def test_loss_in_one_direction_is_detected():
    """One direction of a connection may fail while the other works."""
    entry, control = _Process('e'), _Process('c')
    entry.send('c', 0)
    entry.tracker.record_received(control.send('e', 0.5), 0.5)
    assert not entry.tracker.needs_reconnect('c:1', ACKNOWLEDGEMENT_TIMEOUT_S - 0.1)
    assert entry.tracker.needs_reconnect('c:1', ACKNOWLEDGEMENT_TIMEOUT_S)
    assert not entry.tracker.needs_reconnect('c:1', ACKNOWLEDGEMENT_TIMEOUT_S + 0.1)
    assert entry.tracker.needs_reconnect('c:1', 2 * ACKNOWLEDGEMENT_TIMEOUT_S)


def test_restarted_peer_does_not_acknowledge_earlier_messages():
    """A peer's messages must not acknowledge what was sent to its earlier incarnation."""
    entry, control = _Process('e'), _Process('c')
    control.tracker.record_received(entry.send('c', 0), 0)
    entry.tracker.record_received(control.send('e', 0.1), 0.1)
    restarted = _Process('c', 'second')
    entry.send('c', 1)
    entry.tracker.record_received(restarted.send('e', 1.1), 1.1)
    assert entry.tracker.needs_reconnect('c:1', 1 + ACKNOWLEDGEMENT_TIMEOUT_S)


def test_unused_peer_needs_no_reconnect():
    """A peer that was sent no message has none to acknowledge."""
    assert not AcknowledgementTracker().needs_reconnect('c:1', 100)


def test_peer_keeps_numbers_from_before_clock_went_back(monkeypatch):
    """A restart on an earlier time of day must not hide that messages are lost."""
    entry, control = _Process(_ENTRY), _Process(_CONTROL)
    entry.tracker.record_received(control.send(_ENTRY, 0), 0)
    _set_clock_back(monkeypatch)
    restarted = _Process(_CONTROL)
    lost = restarted.send(_ENTRY, 1)
    restarted.tracker.record_received(entry.send(_CONTROL, 1.1), 1.1)
    assert restarted.tracker.needs_reconnect(f'{_ENTRY}:1', 1 + ACKNOWLEDGEMENT_TIMEOUT_S)
    entry.tracker.record_received(lost, 2)
    restarted.tracker.record_received(entry.send(_CONTROL, 2), 2)
    assert not restarted.tracker.needs_reconnect(f'{_ENTRY}:1', 2 + ACKNOWLEDGEMENT_TIMEOUT_S)


def test_address_used_again_by_process_with_earlier_clock(monkeypatch):
    """Acknowledgements for the former process at an address are not for the newcomer."""
    entry, control = _Process(_ENTRY), _Process(_CONTROL)
    entry.tracker.record_received(control.send(_ENTRY, 0), 0)
    _set_clock_back(monkeypatch)
    newcomer = _Process(_CONTROL, 'other')
    newcomer.send(_ENTRY, 1)
    newcomer.tracker.record_received(entry.send(_CONTROL, 1.1), 1.1)
    assert newcomer.tracker.needs_reconnect(f'{_ENTRY}:1', 1 + ACKNOWLEDGEMENT_TIMEOUT_S)


def test_numbers_exceed_those_of_earlier_versions():
    """Peers of earlier versions keep the greatest number, which was the time in ms."""
    assert _Process(_ENTRY).send(_CONTROL, 0).number > time.time_ns() // 1_000_000


def _set_clock_back(monkeypatch) -> None:
    earlier = time.time_ns() - _CLOCK_STEP_NS
    monkeypatch.setattr(time, 'time_ns', lambda: earlier)
