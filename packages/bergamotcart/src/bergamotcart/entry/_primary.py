"""The gate to the primary: lease, term, reachability and room."""

import abc

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._lanes import Lanes
from bergamotcart.entry._monitor import TargetMonitor
from bergamotcart.entry._queues import Queues
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Phase, Request, RequestSystem, RequestTable
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import TargetRole
from bergamotcart.outcomes import Reason


class QueuedSystem(RequestSystem):
    """System whose requests wait in the queue for the primary."""

    @abc.abstractmethod
    def dispatch(self, request: Request, target: TargetKey) -> None:
        """Send a request to the primary; its lane has room."""


class PrimaryGate:
    """Queues work for the primary of each group and lets it pass while that is safe."""

    __slots__ = ('_lanes', '_monitor', '_replies', '_work', 'queues')

    def __init__(
        self,
        work: Workspace,
        lanes: Lanes,
        monitor: TargetMonitor,
        requests: RequestTable,
        replies: Replies,
    ) -> None:
        """Keep the tables that decide."""
        self._work = work
        self._lanes = lanes
        self._monitor = monitor
        self.queues = Queues(requests, replies)
        self._replies = replies

    @property
    def is_cut_off(self) -> bool:
        """Whether control has been out of reach for longer than an election takes."""
        return self._work.lease.is_cut_off(self._work.now)

    def primary(self, group: str) -> TargetKey | None:
        """Return the primary if it may be sent work now.

        That needs a valid lease, the group open, and a primary that answers probes, is
        not leaving, and announced itself recently.
        """
        view = self._work.view
        if not self._work.lease_valid and view.refuses_by_itself(group):
            return self._claimed_primary(group)
        if not self._work.lease_valid or not view.is_open(group):
            return None
        key = TargetKey(group, view.groups[group].primary or '')
        if not self._takes_work(key):
            return None
        return key if self._monitor.is_reachable(key) else None

    def refuses_at_once(self, group: str) -> bool:
        """Whether a request that needs a lease cannot be served soon."""
        return self.is_cut_off and not self._work.view.refuses_by_itself(group)

    def find_primary(self, group: str) -> None:
        """Ask the instances of a group which one is the primary, if control cannot tell."""
        if self._work.lease_valid or not self._work.view.refuses_by_itself(group):
            return
        if self._claimed_primary(group) is None:
            for target in self._work.table.of_group(group):
                self._monitor.probe_soon(target.key)

    def is_read_only(self, group: str) -> bool:
        """Tell whether the operator or the failover has stopped writes to a group."""
        row = self._work.view.groups.get(group)
        return self._work.view.document.is_read_only(group) or (row is not None and row.read_only)

    def enqueue(self, request: Request) -> None:
        """Queue a request for the primary, and send it if that is possible now."""
        if self.is_read_only(request.group):
            self._replies.refuse(request, Reason.group_not_open, 'the group is read-only')
        elif self.refuses_at_once(request.group):
            self._replies.refuse(request, Reason.no_lease, retry_after=1.0)
        else:
            request.phase = Phase.waiting
            self.queues.put(self._work.groups.get(request.group).writes, request)
            self.find_primary(request.group)
            self.pump(request.group)

    def pump(self, group: str) -> None:
        """Send as many queued requests as the primary takes now."""
        queue = self._work.groups.get(group).writes
        while len(queue):
            key = self.primary(group)
            if key is None or not self._lanes.get(key).has_room:
                return
            request = self.queues.take(queue)
            if request is None:
                return
            self._send(request, key)

    def refuse_queued(self, group: str, reason: Reason) -> None:
        """Refuse all queued requests of a group."""
        for request in self.queues.take_all(self._work.groups.get(group).writes):
            self._replies.refuse(request, reason, retry_after=1.0)

    def _claimed_primary(self, group: str) -> TargetKey | None:
        """Return the instance that says itself that it is the primary."""
        for target in self._work.table.of_group(group):
            watched = self._monitor.get(target.key)
            if watched is None or watched.report is None:
                continue
            claims = watched.report.role is TargetRole.primary
            is_usable = self._monitor.is_reachable(target.key) and self._takes_work(target.key)
            if claims and is_usable:
                return target.key
        return None

    def _takes_work(self, key: TargetKey) -> bool:
        if self._work.view.refuses_by_itself(key.group):
            return self._work.table.takes_primary_work(key, self._work.now)
        return self._work.table.takes_new_work(key, self._work.now)

    def _send(self, request: Request, key: TargetKey) -> None:
        row = self._work.view.groups.get(request.group)
        request.term = row.term if row else 0
        if request.attempts == 0:
            self._work.decide(
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
        system = request.system
        if isinstance(system, QueuedSystem):
            system.dispatch(request, key)
