"""Service that sends and receives messages between processes."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import pynng
from mode import Service

from bergamotcart import messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart_daemon.addresses import Address, AddressTranslation
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources import ResourceGuard
from bergamotcart_daemon.transport._acknowledgements import (
    ACKNOWLEDGEMENT_TIMEOUT_S,
    AcknowledgementTracker,
)
from bergamotcart_daemon.transport._compression import compress, decompress
from bergamotcart_daemon.transport._identity import Identity
from bergamotcart_daemon.transport._peer_server import PeerServer
from bergamotcart_daemon.transport._peer_sockets import PeerSockets

# Longer messages close the connection before memory is allocated for them. Messages between
# the format's limit and this one are received, then rejected and counted.
_RECEIVE_LIMIT_BYTES: Final = 2 * messages.MAX_MESSAGE_BYTES
_RECEIVE_BUFFER_MESSAGES: Final = 256
# Limit of messages read in one iteration of the event loop, so that other callbacks can run.
_MAX_MESSAGES_PER_ITERATION: Final = 64
_IDLE_CHECK_INTERVAL_S: Final = 30.0
_IDLE_TIMEOUT_S: Final = 60.0
_MIN_LOG_INTERVAL_S: Final = 1.0

_logger = logging.getLogger(__name__)


class Transport(Service):
    """Owns one listening ``Pull0`` socket and one ``Push0`` socket per peer address.

    Where limits are named, a server of its own takes the place of the ``Pull0`` socket.

    :param listen: listening address, as ``host:port``.
    :param submit: called with each received message.
    :param guard: limits of the process.
    """

    def __init__(
        self,
        listen: str,
        identity: Identity,
        translation: AddressTranslation,
        metrics: Metrics,
        submit: Callable[[MessageReceived], None],
        guard: ResourceGuard | None = None,
    ) -> None:
        """Store the parameters; sockets are opened at start."""
        super().__init__()
        self._listen = listen
        self._identity = identity
        self._translation = translation
        self._metrics = metrics
        self._submit = submit
        self._guard = guard
        self._peer_sockets = PeerSockets()
        self._acknowledgements = AcknowledgementTracker()
        self._pull_socket: pynng.Pull0 | None = None
        self._next_log_at = 0.0

    async def on_start(self) -> None:
        """Open the listening socket."""
        self.exit_stack.callback(self._peer_sockets.close)
        if self._guard is None or not self._guard.is_limited:
            self._open_pull_socket()
            return
        server = PeerServer(self._guard, self._process_message)
        self.exit_stack.callback(server.stop)
        await server.start(Address.parse(self._listen))

    @Service.timer(_IDLE_CHECK_INTERVAL_S)
    async def close_idle_sockets(self) -> None:
        """Close sockets that have sent nothing for some time."""
        self._peer_sockets.close_idle(asyncio.get_running_loop().time() - _IDLE_TIMEOUT_S)

    def send(self, action: Send) -> None:
        """Send a message, or drop it if it cannot be queued without blocking."""
        now = asyncio.get_running_loop().time()
        numbers = self._acknowledgements.assign_numbers(action.address, now)
        try:
            encoded = compress(messages.encode(self._identity.build_envelope(action, *numbers)))
            address = str(self._translation.translate(action.address))
        except ValueError as error:
            self._report_event('message_not_sent', f'{action.recipient}: {error}')
            return
        if self._acknowledgements.needs_reconnect(action.address, now):
            self._metrics.count_event('connection_dialled_anew')
            _logger.info(
                'no acknowledgement from peer %s at %s for at least %.1f s; reconnecting',
                action.recipient,
                address,
                ACKNOWLEDGEMENT_TIMEOUT_S,
            )
            self._peer_sockets.close_peer(address)
        try:
            is_queued = self._peer_sockets.send(address, encoded, now)
        except ValueError as error:
            self._report_event('message_not_sent', f'{action.recipient}: {error}')
            return
        if not is_queued:
            self._metrics.count_event('message_dropped')
            return
        self._metrics.count_sent_message(type(action.body).__name__, len(encoded))

    def _open_pull_socket(self) -> None:
        pull_socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=_RECEIVE_LIMIT_BYTES,
        )
        self.exit_stack.callback(pull_socket.close)
        pull_socket.listen(f'tcp://{self._listen}')
        self._pull_socket = pull_socket
        # The descriptor is readable while messages are queued, so no receiving thread is needed.
        loop = asyncio.get_running_loop()
        descriptor = pull_socket.recv_fd
        loop.add_reader(descriptor, self._read_messages)
        self.exit_stack.callback(loop.remove_reader, descriptor)

    def _read_messages(self) -> None:
        for _ in range(_MAX_MESSAGES_PER_ITERATION):
            try:
                received = self._pull_socket.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.exceptions.NNGException as error:
                self._report_event('receive_failed', str(error))
                return
            except RuntimeError:
                # pynng raises this for a message of zero bytes.
                self._report_event('message_malformed', 'empty message')
                continue
            self._process_message(received)

    def _process_message(self, received: bytes) -> bool:
        """Submit a message, unless it is malformed or for another process.

        :returns: whether it is well-formed.
        """
        try:
            envelope = messages.decode(decompress(received), self._identity.domain)
        except messages.DecodeError as error:
            self._report_event('message_malformed', str(error))
            return False
        if envelope.recipient != self._identity.name:
            self._report_event(
                'message_misdirected',
                f'from {envelope.sender!r}, addressed to {envelope.recipient!r}',
            )
            return True
        self._acknowledgements.record_received(envelope, asyncio.get_running_loop().time())
        self._submit(MessageReceived(envelope))
        return True

    def _report_event(self, event: str, detail: str) -> None:
        # Every event is counted, but log lines are rate-limited, as bad input may be frequent.
        self._metrics.count_event(event)
        now = asyncio.get_running_loop().time()
        if now >= self._next_log_at:
            self._next_log_at = now + _MIN_LOG_INTERVAL_S
            _logger.warning('%s: %s', event, detail)
