"""Access to the fair queues of requests."""

from bergamotcart.admission import FairQueue, Waiter
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestTable
from bergamotcart.outcomes import Reason

_RETRY_AFTER_S = 0.5


class RequestQueues:
    """Adds requests to fair queues and removes them."""

    __slots__ = ('_replies', '_requests')

    def __init__(self, requests: RequestTable, replies: Replies) -> None:
        """Create the access to the queues.

        :param requests: table that maps the identifiers in the queues to requests.
        """
        self._requests = requests
        self._replies = replies

    def put(self, queue: FairQueue, request: Request) -> None:
        """Add a request to a queue; if the queue is full, refuse this or another request of it."""
        request.queue = queue
        waiter = Waiter(request.request_id, request.session.caller, request.deadline)
        rejected = queue.push(waiter)
        if rejected is None:
            return
        rejected_request = self._requests.get(rejected.request_id)
        if rejected_request is not None:
            self._replies.refuse(rejected_request, Reason.queue_full, retry_after=_RETRY_AFTER_S)

    def pop_next(self, queue: FairQueue) -> Request | None:
        """Remove and return the next request of the caller whose turn it is, if any."""
        waiter = queue.pop()
        if waiter is None:
            return None
        request = self._requests.get(waiter.request_id)
        if request is not None:
            request.queue = None
        return request

    def pop_all(self, queue: FairQueue) -> list[Request]:
        """Remove and return all requests of a queue."""
        requests: list[Request] = []
        request = self.pop_next(queue)
        while request is not None:
            requests.append(request)
            request = self.pop_next(queue)
        return requests
