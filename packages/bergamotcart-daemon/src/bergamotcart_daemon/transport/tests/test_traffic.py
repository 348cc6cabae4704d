"""Guards against connections that have gone silent and are used for ever."""

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart_daemon.transport import Identity
from bergamotcart_daemon.transport._traffic import REDIAL_AFTER_S, PeerTraffic

_PULL = messages.RelayPull(sent_at=1.0)


class _Side:
    """One process with its counts of the other."""

    def __init__(self, name: str, incarnation: str = 'first') -> None:
        self.identity = Identity('default', name, incarnation, f'{name}:1')
        self.traffic = PeerTraffic()

    def send(self, peer: str, now: float) -> messages.Envelope:
        numbers = self.traffic.number(f'{peer}:1', now)
        return self.identity.wrap(Send(peer, f'{peer}:1', _PULL), *numbers)


def test_a_peer_that_acknowledges_is_left_alone():
    """A working connection must not be closed under its messages."""
    entry, control = _Side('e'), _Side('c')
    for second in range(10):
        control.traffic.note(entry.send('c', second), second)
        assert not entry.traffic.is_silent('c:1', second + 0.1)
        entry.traffic.note(control.send('e', second + 0.1), second + 0.1)


def test_lost_messages_are_noticed_while_others_come_from_the_peer():
    """Only one of the two directions may have gone silent."""
    entry, control = _Side('e'), _Side('c')
    entry.send('c', 0)
    entry.traffic.note(control.send('e', 0.5), 0.5)
    assert not entry.traffic.is_silent('c:1', REDIAL_AFTER_S - 0.1)
    assert entry.traffic.is_silent('c:1', REDIAL_AFTER_S)
    assert not entry.traffic.is_silent('c:1', REDIAL_AFTER_S + 0.1)
    assert entry.traffic.is_silent('c:1', 2 * REDIAL_AFTER_S)


def test_a_restarted_peer_acknowledges_nothing_of_its_former_start():
    """Its messages must not vouch for a connection that it never had."""
    entry, control = _Side('e'), _Side('c')
    control.traffic.note(entry.send('c', 0), 0)
    entry.traffic.note(control.send('e', 0.1), 0.1)
    restarted = _Side('c', 'second')
    entry.send('c', 1)
    entry.traffic.note(restarted.send('e', 1.1), 1.1)
    assert entry.traffic.is_silent('c:1', 1 + REDIAL_AFTER_S)


def test_a_peer_that_was_never_sent_anything_is_not_silent():
    """Nothing is missing."""
    assert not PeerTraffic().is_silent('c:1', 100)
