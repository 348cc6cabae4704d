"""Push sockets to peers, one for each address."""

import logging
from typing import Final

import msgspec
import pynng

# Limit of messages that are queued for a peer that does not read them. It also bounds the number
# of outdated messages that a peer receives when it is reachable again.
_SEND_BUFFER_MESSAGES: Final = 32
_RECONNECT_MIN_MS: Final = 50
# Reconnecting to a restarted peer must take well less than the election timeout.
_RECONNECT_MAX_MS: Final = 200

_logger = logging.getLogger(__name__)


class _PeerSocket(msgspec.Struct):
    socket: pynng.Push0
    last_used: float


class PeerSockets:
    """Sends without blocking; a message is dropped if the send buffer of its peer is full."""

    __slots__ = ('_peers',)

    def __init__(self) -> None:
        """Create a set without sockets."""
        self._peers: dict[str, _PeerSocket] = {}

    def send(self, address: str, encoded: bytes, now: float) -> bool:
        """Queue a message on the socket of a peer, which is opened if necessary.

        :param address: address to connect to, as ``host:port``.
        :param now: current time in seconds, used to find idle sockets.
        :returns: false if the message was dropped.
        :raises ValueError: if the address cannot be dialled.
        """
        peer = self._peers.get(address) or self._open_socket(address, now)
        peer.last_used = now
        try:
            peer.socket.send(encoded, block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    def close_idle(self, unused_since: float) -> None:
        """Close sockets that have not been used since a time in seconds."""
        idle = [name for name, peer in self._peers.items() if peer.last_used < unused_since]
        for address in idle:
            self._peers.pop(address).socket.close()

    def close_peer(self, address: str) -> None:
        """Close the socket to a peer; the next message to it opens a new one."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.socket.close()

    def close(self) -> None:
        """Close all sockets."""
        while self._peers:
            self._peers.popitem()[1].socket.close()

    def _open_socket(self, address: str, now: float) -> _PeerSocket:
        socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        try:
            socket.dial(f'tcp://{address}', block=False)
        except pynng.exceptions.NNGException as error:
            socket.close()
            raise ValueError(f'{address} cannot be dialled: {error}') from error
        peer = _PeerSocket(socket, now)
        self._peers[address] = peer
        _logger.debug('opened a socket to peer %s', address)
        return peer
