"""Fair queues of requests."""

from bergamotcart.admission import FairQueue, Waiter
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestTable
from bergamotcart.outcomes import Reason

_RETRY_AFTER_S = 0.5


class Queues:
    """Puts requests into fair queues and takes them out."""

    __slots__ = ('_replies', '_requests')

    def __init__(self, requests: RequestTable, replies: Replies) -> None:
        """Keep the table that turns identifiers into requests."""
        self._requests = requests
        self._replies = replies

    def put(self, queue: FairQueue, request: Request) -> None:
        """Queue a request; the one that has no place, perhaps another, is refused."""
        request.queue = queue
        waiter = Waiter(request.request_id, request.session.caller, request.deadline)
        displaced = queue.offer(waiter)
        if displaced is None:
            return
        refused = self._requests.get(displaced.request_id)
        if refused is not None:
            self._replies.refuse(refused, Reason.queue_full, retry_after=_RETRY_AFTER_S)

    def take(self, queue: FairQueue) -> Request | None:
        """Take the next request of the caller whose turn it is."""
        waiter = queue.take()
        if waiter is None:
            return None
        request = self._requests.get(waiter.request_id)
        if request is not None:
            request.queue = None
        return request

    def take_all(self, queue: FairQueue) -> list[Request]:
        """Take all requests."""
        taken: list[Request] = []
        request = self.take(queue)
        while request is not None:
            taken.append(request)
            request = self.take(queue)
        return taken
