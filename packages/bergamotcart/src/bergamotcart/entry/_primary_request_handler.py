"""Base class of handlers that run each request as one execution at the primary."""

from bergamotcart.entry._executions import Executions
from bergamotcart.entry._primary_dispatcher import PrimaryDispatcher, QueuedRequestHandler
from bergamotcart.entry._replication_acknowledgements import ReplicationAcknowledgements
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request
from bergamotcart.entry._retries import Retries


class PrimaryRequestHandler(QueuedRequestHandler):
    """Queues each request for the primary, and acknowledges or retries its execution.

    :param primary_dispatcher: queues requests, and sends them to the primary while that is safe.
    :param executions: executes requests at the primary.
    :param acknowledgements: holds replies until enough replicas have the writes.
    """

    __slots__ = ('_acknowledgements', '_executions', '_primary_dispatcher', '_replies', '_retries')

    def __init__(
        self,
        primary_dispatcher: PrimaryDispatcher,
        executions: Executions,
        acknowledgements: ReplicationAcknowledgements,
        replies: Replies,
        retries: Retries,
    ) -> None:
        """Create the handler."""
        self._primary_dispatcher = primary_dispatcher
        self._executions = executions
        self._acknowledgements = acknowledgements
        self._replies = replies
        self._retries = retries

    def resume(self, request: Request) -> None:
        """Queue a request for the primary."""
        self._primary_dispatcher.enqueue(request)
