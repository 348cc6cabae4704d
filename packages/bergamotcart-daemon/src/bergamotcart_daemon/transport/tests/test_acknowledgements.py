"""Tests that connections without acknowledgements are detected."""

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart_daemon.transport import Identity
from bergamotcart_daemon.transport._acknowledgements import (
    ACKNOWLEDGEMENT_TIMEOUT_S,
    AcknowledgementTracker,
)

_MESSAGE = messages.RelayPull(sent_at=1.0)


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
