"""One push socket for each peer address."""

import logging
from dataclasses import dataclass
from typing import Final

import pynng

# Messages kept for a peer that does not read; a peer that returns gets at most these stale ones.
_SEND_BUFFER_MESSAGES: Final = 32
_RECONNECT_MIN_MS: Final = 50
# A restarted peer must be reached well within the election timeout.
_RECONNECT_MAX_MS: Final = 200

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Peer:
    socket: pynng.Push0
    last_used: float


class PeerSockets:
    """Sends without ever waiting for a peer; a message that finds a full buffer is dropped."""

    __slots__ = ('_peers',)

    def __init__(self) -> None:
        """Start without any peer."""
        self._peers: dict[str, _Peer] = {}

    def send(self, address: str, encoded: bytes, now: float) -> bool:
        """Hand a message to the socket of a peer.

        :param address: where to connect, as ``host:port``.
        :param now: current time in seconds, used to find idle sockets.
        :returns: false if the message was dropped.
        """
        peer = self._peers.get(address) or self._open(address, now)
        peer.last_used = now
        try:
            peer.socket.send(encoded, block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    def close_idle(self, unused_since: float) -> None:
        """Close sockets that were not used since a time in seconds."""
        idle = [name for name, peer in self._peers.items() if peer.last_used < unused_since]
        for address in idle:
            self._peers.pop(address).socket.close()

    def close_one(self, address: str) -> None:
        """Close the socket to a peer; the next message opens another one."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.socket.close()

    def close(self) -> None:
        """Close all sockets."""
        while self._peers:
            self._peers.popitem()[1].socket.close()

    def _open(self, address: str, now: float) -> _Peer:
        socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        socket.dial(f'tcp://{address}', block=False)
        peer = _Peer(socket, now)
        self._peers[address] = peer
        _logger.debug('opened a socket to peer %s', address)
        return peer
