"""Detects connections on which messages to a peer no longer arrive.

A connection may stop delivering without being closed, while new ones to the same peer work. A push
socket does not detect this. Therefore each message to a peer is numbered, and each message from the
peer acknowledges the newest number received; if messages stay unacknowledged, the process
reconnects.

An address may be used again by a restarted or by another process. The numbers of each start begin
at a random number, so an acknowledgement outside the range of this start belongs to another one.
"""

import random
import time
from typing import Final

import msgspec

from bergamotcart.messages import Envelope

# Peers exchange messages several times a second, so acknowledgements normally come sooner.
ACKNOWLEDGEMENT_TIMEOUT_S: Final = 0.8
_NS_PER_S: Final = 1_000_000_000
# With the seconds since 1970 above them, the numbers fit into 63 bits for two centuries.
_RANDOM_BITS: Final = 30
# Messages of one start are not reordered by more than this, as send buffers are short.
_MAX_REORDERING: Final = 65_536


class _PeerNumbers(msgspec.Struct):
    """Message numbers exchanged with one peer.

    :param last_sent: number of the newest message to it.
    :param acknowledged: newest number that it has acknowledged.
    :param waiting_since: time in seconds since which an acknowledgement is awaited, or ``None``.
    :param last_received: number of the newest message from it.
    :param incarnation: incarnation of the peer that sent message ``last_received``.
    """

    last_sent: int
    acknowledged: int
    waiting_since: float | None = None
    last_received: int = 0
    incarnation: str = ''


class AcknowledgementTracker:
    """Numbers the messages to each peer and tracks acknowledgements, by advertised address."""

    __slots__ = ('_first_number', '_peers')

    def __init__(self) -> None:
        """Create a tracker without peers."""
        self._peers: dict[str, _PeerNumbers] = {}
        # Peers of earlier versions keep the greatest number of an incarnation, so the time of day
        # comes first.
        started_at = time.time_ns() // _NS_PER_S
        self._first_number = (started_at << _RANDOM_BITS) + random.SystemRandom().getrandbits(
            _RANDOM_BITS
        )

    def assign_numbers(self, address: str, now: float) -> tuple[int, int]:
        """Assign the number of the next message to a peer.

        :param now: current time in seconds.
        :returns: that number, and the number of the peer's newest message to acknowledge.
        """
        peer = self._get_or_create(address)
        peer.last_sent += 1
        if peer.waiting_since is None:
            peer.waiting_since = now
        return peer.last_sent, peer.last_received

    def record_received(self, envelope: Envelope, now: float) -> None:
        """Record the number and the acknowledgement of a received message.

        :param now: current time in seconds.
        """
        peer = self._get_or_create(envelope.sender_address)
        is_other_start = envelope.number + _MAX_REORDERING < peer.last_received
        if envelope.incarnation != peer.incarnation or is_other_start:
            peer.incarnation = envelope.incarnation
            peer.last_received = 0
        peer.last_received = max(peer.last_received, envelope.number)
        if not peer.acknowledged < envelope.acknowledged <= peer.last_sent:
            return
        peer.acknowledged = envelope.acknowledged
        peer.waiting_since = None if peer.acknowledged == peer.last_sent else now

    def needs_reconnect(self, address: str, now: float) -> bool:
        """Return whether acknowledgements are overdue, so that the socket must reconnect.

        :param now: current time in seconds; if the result is true, the timeout restarts then.
        """
        peer = self._get_or_create(address)
        if peer.waiting_since is None or now < peer.waiting_since + ACKNOWLEDGEMENT_TIMEOUT_S:
            return False
        peer.waiting_since = now
        return True

    def _get_or_create(self, address: str) -> _PeerNumbers:
        peer = self._peers.get(address)
        if peer is None:
            peer = _PeerNumbers(self._first_number, self._first_number)
            self._peers[address] = peer
        return peer
