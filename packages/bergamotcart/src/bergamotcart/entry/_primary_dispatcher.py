"""Dispatch of requests to the primary, by lease, term, reachability and capacity."""

import abc
from typing import Final

from bergamotcart.admission import FairQueue
from bergamotcart.discovery import TargetKey
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._request_queues import RequestQueues
from bergamotcart.entry._requests import Request, RequestHandler, RequestPhase, RequestTable
from bergamotcart.entry._target_limits import TargetLimiter, TargetLimiters
from bergamotcart.messages import TargetRole
from bergamotcart.outcomes import Reason

# A usual failover, with the detection of the lost primary, ends within this time. Requests are held
# for it; in a longer outage, further ones are refused at once.
_OUTAGE_HOLD_S: Final = 1.5
# Bounds of the time after which a request that was refused in an outage may come back, spread so
# that not all callers return at once.
_MIN_OUTAGE_RETRY_AFTER_S: Final = 0.5
_MAX_OUTAGE_RETRY_AFTER_S: Final = 1.5


class QueuedRequestHandler(RequestHandler):
    """Handler whose requests wait in the queue for the primary of their group."""

    @abc.abstractmethod
    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send a request to the primary, whose limits leave room for it."""


class PrimaryDispatcher:
    """Queues requests for the primary of each group, and sends them while that is safe."""

    __slots__ = ('_limiters', '_monitor', '_replies', '_context', 'queues')

    def __init__(
        self,
        context: EngineContext,
        limiters: TargetLimiters,
        monitor: TargetMonitor,
        requests: RequestTable,
        replies: Replies,
    ) -> None:
        """Create the dispatcher with empty queues."""
        self._context = context
        self._limiters = limiters
        self._monitor = monitor
        self.queues = RequestQueues(context, requests, replies)
        self._replies = replies

    @property
    def is_control_unreachable(self) -> bool:
        """Whether control has been unreachable for longer than an election takes."""
        return self._context.lease.is_control_unreachable(self._context.now)

    def usable_primary(self, group: str) -> TargetKey | None:
        """Return the primary if requests may be sent to it now, otherwise ``None``.

        This requires a valid lease, an open group, and a primary that answers probes, is not
        leaving, and announced itself recently. Without a lease, a group whose targets refuse
        requests themselves is served by the instance that reports itself as the primary.
        """
        view = self._context.control_view
        if not self._context.lease_valid and view.has_self_fencing_primary(group):
            return self._self_declared_primary(group)
        if not self._context.lease_valid or not view.is_open(group):
            return None
        key = TargetKey(group, view.groups[group].primary or '')
        if not self._accepts_requests(key):
            return None
        return key if self._monitor.is_reachable(key) else None

    def refuses_without_lease(self, group: str) -> bool:
        """Tell whether requests for a group are refused because no lease is expected soon."""
        return (
            self.is_control_unreachable
            and not self._context.control_view.has_self_fencing_primary(group)
        )

    def probe_for_primary(self, group: str) -> None:
        """Probe the instances of a group for its primary while there is no valid lease."""
        if self._context.lease_valid or not self._context.control_view.has_self_fencing_primary(
            group
        ):
            return
        if self._self_declared_primary(group) is None:
            for target in self._context.targets.list_group(group):
                self._monitor.probe_now(target.key)

    def is_read_only(self, group: str) -> bool:
        """Tell whether an operator or a failover has made a group read-only."""
        row = self._context.control_view.groups.get(group)
        return self._context.control_view.document.is_read_only(group) or (
            row is not None and row.read_only
        )

    def enqueue(self, request: Request) -> None:
        """Queue a request for the primary and send it as soon as possible, or refuse it."""
        if self.is_read_only(request.group):
            self._replies.refuse(request, Reason.group_not_open, 'the group is read-only')
        elif self.refuses_without_lease(request.group):
            self._replies.refuse(request, Reason.no_lease, retry_after=1.0)
        elif not self.refuse_in_outage(request):
            request.phase = RequestPhase.waiting
            self.queues.put(self._context.groups.get(request.group).primary_queue, request)
            self.probe_for_primary(request.group)
            self.send_queued(request.group)

    def refuse_in_outage(self, request: Request) -> bool:
        """Refuse a request with a route that needs a primary which has long been unusable.

        :returns: whether the request was refused.
        """
        self._observe_primary(request.group)
        if request.route is None or not self._is_in_long_outage(request.group):
            return False
        self.probe_for_primary(request.group)
        self._refuse_for_outage(request)
        return True

    def send_queued(self, group: str) -> None:
        """Send as many queued requests of a group as its primary has room for now."""
        queue = self._context.groups.get(group).primary_queue
        self._observe_primary(group)
        while len(queue):
            key = self.usable_primary(group)
            if key is None or not self._limiters.get(key).has_capacity:
                return
            request = self._pop_next(queue, self._limiters.get(key))
            if request is None:
                return
            queue.pace.record_departure(self._context.now)
            self._dispatch(request, key)

    def refuse_queued(self, group: str, reason: Reason) -> None:
        """Refuse all queued requests of a group."""
        for request in self.queues.pop_all(self._context.groups.get(group).primary_queue):
            self._replies.refuse(request, reason, retry_after=1.0)

    def _pop_next(self, queue: FairQueue, limiter: TargetLimiter) -> Request | None:
        """Return the next request, a single statement if a transaction would hold it up."""
        if not limiter.is_scarce:
            return self.queues.pop_next(queue)
        is_shared = limiter.concurrency.limit == 1
        request = self.queues.pop_next(queue, may_pin=limiter.may_pin and not is_shared)
        if request is None and is_shared:
            request = self.queues.pop_next(queue)
        return request

    def _observe_primary(self, group: str) -> None:
        """Record since when the primary is unusable, and end the hold of its requests in time."""
        state = self._context.groups.get(group)
        if self.usable_primary(group) is not None:
            state.unusable_since = None
        elif state.unusable_since is None:
            state.unusable_since = self._context.now
            self._context.call_later(_OUTAGE_HOLD_S, lambda: self._end_hold(group))

    def _end_hold(self, group: str) -> None:
        self._observe_primary(group)
        if not self._is_in_long_outage(group):
            return
        queue = self._context.groups.get(group).primary_queue
        for request in self.queues.pop_all(queue):
            if request.route is None:
                self.queues.put(queue, request)
            else:
                self._refuse_for_outage(request)

    def _is_in_long_outage(self, group: str) -> bool:
        unusable_since = self._context.groups.get(group).unusable_since
        return unusable_since is not None and self._context.now >= unusable_since + _OUTAGE_HOLD_S

    def _refuse_for_outage(self, request: Request) -> None:
        retry_after_s = self._context.random.uniform(
            _MIN_OUTAGE_RETRY_AFTER_S, _MAX_OUTAGE_RETRY_AFTER_S
        )
        self._replies.refuse(
            request,
            Reason.group_not_open,
            f'the primary has been unusable for more than {_OUTAGE_HOLD_S} s',
            retry_after=retry_after_s,
        )

    def _self_declared_primary(self, group: str) -> TargetKey | None:
        """Return a usable instance that reports itself as the primary, or ``None``."""
        for target in self._context.targets.list_group(group):
            monitored = self._monitor.get(target.key)
            if monitored is None or monitored.report is None:
                continue
            is_primary = monitored.report.role is TargetRole.primary
            is_usable = self._monitor.is_reachable(target.key) and self._accepts_requests(
                target.key
            )
            if is_primary and is_usable:
                return target.key
        return None

    def _accepts_requests(self, key: TargetKey) -> bool:
        if self._context.control_view.is_promoted_by_authority(key.group):
            return self._context.targets.accepts_primary_statements(key, self._context.now)
        return self._context.targets.accepts_statements(key, self._context.now)

    def _dispatch(self, request: Request, key: TargetKey) -> None:
        row = self._context.control_view.groups.get(request.group)
        request.term = row.term if row else 0
        if request.attempts == 0:
            self._context.publish_decision(
                'routing',
                'send_to_primary',
                request.statement.kind.value,
                request=request.request_id,
                session=request.session.session_id,
                caller=request.session.caller,
                group=request.group,
                target=key.instance,
                term=request.term,
            )
        handler = request.handler
        if isinstance(handler, QueuedRequestHandler):
            handler.dispatch(request, key)
