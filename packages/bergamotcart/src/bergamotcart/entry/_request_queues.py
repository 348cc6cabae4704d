"""Access to the fair queues of requests."""

from typing import Final

from bergamotcart.admission import FairQueue, Waiter
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestTable
from bergamotcart.outcomes import Reason

# Time after which a request that a full queue refused may come back, while it is not known how fast
# the queue is served.
_RETRY_AFTER_S: Final = 0.5


class RequestQueues:
    """Adds requests to fair queues and removes them."""

    __slots__ = ('_context', '_replies', '_requests')

    def __init__(self, context: EngineContext, requests: RequestTable, replies: Replies) -> None:
        """Create the access to the queues.

        :param requests: table that maps the identifiers in the queues to requests.
        """
        self._context = context
        self._requests = requests
        self._replies = replies

    def put(self, queue: FairQueue, request: Request) -> None:
        """Add a request to a queue, or refuse it if it would reach its deadline there.

        If the queue is full, this or another request of it is refused.
        """
        now = self._context.now
        if not len(queue):
            queue.pace.record_arrival(now)
        if self._is_hopeless(queue, request):
            self._refuse(queue, request, Reason.expected_wait)
            return
        request.queue = queue
        rejected = queue.push(_build_waiter(request))
        request.was_queued = True
        self._refuse_removed(queue, rejected, Reason.queue_full)
        # The new request may delay those of a lower priority beyond their deadlines.
        self._refuse_removed(queue, queue.shed_late(now), Reason.expected_wait)

    def pop_next(self, queue: FairQueue, *, may_pin: bool = True) -> Request | None:
        """Remove and return the request whose turn it is, if any.

        :param may_pin: whether it may begin a transaction.
        """
        waiter = queue.pop(self._context.now, may_pin=may_pin)
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

    def _is_hopeless(self, queue: FairQueue, request: Request) -> bool:
        """Tell whether a request would reach its deadline, or prolong a queue that stays long."""
        wait_s = queue.pace.expected_wait_s(queue.count_ahead(request.priority))
        if request.route is None or wait_s is None:
            return False
        now = self._context.now
        is_standing = queue.pace.is_standing(
            now, wait_s, request.route.target_latency_s, request.priority
        )
        return now + wait_s > request.deadline or (is_standing and not request.was_queued)

    def _refuse_removed(self, queue: FairQueue, waiter: Waiter | None, reason: Reason) -> None:
        request = None if waiter is None else self._requests.get(waiter.request_id)
        if request is not None:
            self._refuse(queue, request, reason)

    def _refuse(self, queue: FairQueue, request: Request, reason: Reason) -> None:
        """Refuse a request, and tell its caller when the queue will be shorter."""
        ahead = queue.count_ahead(request.priority)
        wait_s = queue.pace.expected_wait_s(ahead)
        if wait_s is None or request.route is None:
            self._replies.refuse(request, reason, retry_after=_RETRY_AFTER_S)
            return
        now, route = self._context.now, request.route
        retry_after_s = queue.pace.return_after_s(
            now, wait_s, route.target_latency_s, route.statement_timeout_s, self._context.random
        )
        detail = (
            f'priority {request.priority}, {ahead} of {len(queue)} ahead, expected wait {wait_s:.3f} s, '
            f'{request.deadline - now:.3f} s left, retry after {retry_after_s:.3f} s'
        )
        self._replies.refuse(request, reason, detail, retry_after=retry_after_s)


def _build_waiter(request: Request) -> Waiter:
    return Waiter(
        request_id=request.request_id,
        caller=request.session.caller,
        deadline=request.deadline,
        arrived_at=request.arrived_at,
        priority=request.priority,
        objective_s=0.0 if request.route is None else request.route.target_latency_s,
        is_pinning=request.is_pinning,
        is_returning=request.was_queued,
    )
