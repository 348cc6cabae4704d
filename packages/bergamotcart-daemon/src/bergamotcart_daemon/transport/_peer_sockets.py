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
# A machine without power does not answer, and the kernel repeats the first packet only after a
# second. The limit is several round trips between regions, for the connection and its handshake.
_MIN_CONNECT_TIMEOUT_S: Final = 0.2
# The limit doubles with each attempt up to this one, so that slow peers are reached, too.
_MAX_CONNECT_TIMEOUT_S: Final = 1.6

_logger = logging.getLogger(__name__)


class _PeerSocket(msgspec.Struct):
    """Socket to one peer.

    :param dialled_at: time at which it was opened or was last seen connected, in seconds.
    :param connect_timeout_s: seconds after which an attempt to connect is given up.
    """

    socket: pynng.Push0
    last_used: float
    dialled_at: float
    connect_timeout_s: float

    def is_overdue(self, now: float) -> bool:
        """Tell whether a connection has been attempted in vain for too long."""
        if self.socket.pipes:
            self.dialled_at = now
            self.connect_timeout_s = _MIN_CONNECT_TIMEOUT_S
        return now >= self.dialled_at + self.connect_timeout_s


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
        peer = self._peers.get(address)
        if peer is None:
            peer = self._open_socket(address, now, _MIN_CONNECT_TIMEOUT_S)
        elif peer.is_overdue(now):
            # Its messages are outdated by now, and the peer may have started meanwhile.
            self.close_peer(address)
            timeout_s = min(2 * peer.connect_timeout_s, _MAX_CONNECT_TIMEOUT_S)
            peer = self._open_socket(address, now, timeout_s)
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

    def _open_socket(self, address: str, now: float, connect_timeout_s: float) -> _PeerSocket:
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
        peer = _PeerSocket(socket, now, now, connect_timeout_s)
        self._peers[address] = peer
        _logger.debug('opened a socket to peer %s', address)
        return peer
