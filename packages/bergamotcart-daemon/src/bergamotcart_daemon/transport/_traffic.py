"""Tells whether what is sent to a peer still arrives there.

A connection may go silent without being closed, while new ones to the same peer work. A push
socket never notices. Therefore each message to a peer has a number, and each message back says which
numbers have arrived; a connection whose messages stay unacknowledged is dialled anew.
"""

import time
from dataclasses import dataclass
from typing import Final

from bergamotcart.messages import Envelope

# Peers answer or ask each other several times a second.
REDIAL_AFTER_S: Final = 0.8
_NS_PER_MS: Final = 1_000_000


@dataclass(slots=True)
class _Peer:
    """Traffic with one peer.

    :param sent: number of the newest message to it.
    :param acknowledged: newest number that it has acknowledged.
    :param waiting_since: time since which a message waits for its acknowledgement, or ``None``.
    :param received: number of the newest message from it.
    :param incarnation: start of the peer that ``received`` belongs to.
    """

    sent: int
    acknowledged: int
    waiting_since: float | None = None
    received: int = 0
    incarnation: str = ''


class PeerTraffic:
    """Numbers and acknowledgements of the messages with each peer, by its advertised address."""

    __slots__ = ('_first', '_peers')

    def __init__(self) -> None:
        """Start without any peer."""
        self._peers: dict[str, _Peer] = {}
        # A former start of this process must not have acknowledged the numbers of this one.
        self._first = time.time_ns() // _NS_PER_MS

    def number(self, address: str, now: float) -> tuple[int, int]:
        """Return the number of the next message to a peer, and the one to acknowledge.

        :param now: current time in seconds.
        """
        peer = self._find(address)
        peer.sent += 1
        if peer.waiting_since is None:
            peer.waiting_since = now
        return peer.sent, peer.received

    def note(self, envelope: Envelope, now: float) -> None:
        """Take over the numbers of a received message.

        :param now: current time in seconds.
        """
        peer = self._find(envelope.sender_address)
        if envelope.incarnation != peer.incarnation:
            peer.incarnation = envelope.incarnation
            peer.received = 0
        peer.received = max(peer.received, envelope.number)
        if envelope.acknowledged <= peer.acknowledged:
            return
        peer.acknowledged = min(envelope.acknowledged, peer.sent)
        peer.waiting_since = None if peer.acknowledged == peer.sent else now

    def is_silent(self, address: str, now: float) -> bool:
        """Tell whether a connection must be dialled anew.

        :param now: current time in seconds; the next check counts from here if it must.
        """
        peer = self._find(address)
        if peer.waiting_since is None or now < peer.waiting_since + REDIAL_AFTER_S:
            return False
        peer.waiting_since = now
        return True

    def _find(self, address: str) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(self._first, self._first)
            self._peers[address] = peer
        return peer
