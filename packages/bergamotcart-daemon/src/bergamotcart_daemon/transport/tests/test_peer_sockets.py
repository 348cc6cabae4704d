"""Tests of the sockets to peers, with sockets on loopback."""

import socket

import pynng
import pytest

from bergamotcart_daemon.transport._peer_sockets import PeerSockets

_TIMEOUT_S = 10.0


@pytest.fixture
def peer_sockets():
    """Return a set of sockets that is closed after the test."""
    sockets = PeerSockets()
    yield sockets
    sockets.close()


def test_a_peer_that_does_not_answer_is_dialled_again(peer_sockets: PeerSockets) -> None:
    """After a loss of power, entries waited 0.8 s for control members that started after them."""
    with socket.create_server(('127.0.0.1', 0)) as silent:
        silent.settimeout(_TIMEOUT_S)
        address = '127.0.0.1:{}'.format(silent.getsockname()[1])
        peer_sockets.send(address, b'message', 0.0)
        first, _ = silent.accept()
        peer_sockets.send(address, b'message', 0.1)
        peer_sockets.send(address, b'message', 0.3)
        # Without another attempt, this waits in vain.
        second, _ = silent.accept()
        for connection in (first, second):
            connection.close()


def test_a_connected_peer_is_not_dialled_again(peer_sockets: PeerSockets) -> None:
    """Messages that are on their way must not be lost with a connection that works."""
    with pynng.Pull0(recv_timeout=int(_TIMEOUT_S * 1000)) as peer:
        listener = peer.listen('tcp://127.0.0.1:0')
        address = str(listener.local_address)
        peer_sockets.send(address, b'0', 0.0)
        received = [peer.recv()]
        pipes = peer.pipes
        for number in range(1, 4):
            peer_sockets.send(address, str(number).encode(), float(number))
            received.append(peer.recv())

        assert received == [b'0', b'1', b'2', b'3']
        assert peer.pipes == pipes
