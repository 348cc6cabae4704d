"""Requests in progress."""

import abc
import enum
from collections.abc import Iterator

import msgspec

from bergamotcart import documents
from bergamotcart.admission import FairQueue
from bergamotcart.discovery import Position, TargetKey
from bergamotcart.entry._sessions import Session
from bergamotcart.entry._timers import Timer
from bergamotcart.executions import LedgerKey, PreparedShape, Step, StepKind
from bergamotcart.outcomes import Outcome
from bergamotcart.statements import Directives, Statement


@enum.unique
class RequestPhase(enum.Enum):
    """Progress of a request."""

    waiting = enum.auto()
    executing = enum.auto()
    confirming = enum.auto()


class RequestHandler(abc.ABC):
    """Base class of the handlers, each of which serves one kind of request."""

    @abc.abstractmethod
    def resume(self, request: 'Request') -> None:
        """Route a waiting request: when it starts, when its wait ends, or to retry it."""


class Request(msgspec.Struct, kw_only=True):
    """One statement of a caller that has no reply yet.

    :param sql: statement without the comment that holds its directives.
    :param max_age_s: greatest age of a read, in seconds, or ``None`` without that bound.
    :param deadline: time at which the request is refused if it has no outcome, in seconds.
    :param repeatable: whether it may be sent again although an earlier attempt may have run.
    :param ledger: key of its row in the ledger, with which it runs at most once, if any.
    :param may_have_run: whether an attempt so far may have run.
    :param term: term of the group at the last attempt.
    :param wait_until: time until which a read waits for a replica, in seconds, once routed.
    :param outcome: outcome to reply with once enough replicas have it.
    :param queue: fair queue in which it waits, if any.
    :param wait_generation: changes whenever the request leaves a queue or stops waiting, so that a
        queue can recognize an outdated element.
    :param route: route of the session, if it uses one.
    :param statement_id: the caller's identifier of the statement.
    :param prepared: prepared statement that it executes, if any.
    :param capacity_refusals: number of attempts that a full instance has refused.
    :param awaits_connection: whether its last attempt was not sent, for want of a connection that is
        expected soon.
    :param was_queued: whether it has waited in a queue before.
    :param failed_targets: instances that refused the read or could not be reached for it.
    :param credit: account of the credit that it holds until it is sent, if any.
    :param is_charged: whether it has spent a credit, which covers all its attempts.
    :param credit_wait_until: time until which it waits for a credit, in seconds.
    :param preferred_zone: availability zone that should serve the read, by the share of reads that
        leave their zone, if one is in force.
    :param placed_at: time since which the read waits for an instance or its answer, in seconds, if
        it is measured.
    """

    request_id: int
    session: Session
    sql: str
    statement: Statement
    directives: Directives
    group: str
    policy: documents.Policy
    arrived_at: float
    deadline: float
    max_age_s: float | None
    repeatable: bool
    ledger: LedgerKey | None = None
    handler: RequestHandler | None = None
    phase: RequestPhase = RequestPhase.waiting
    done: bool = False
    may_have_run: bool = False
    attempts: int = 0
    term: int = 0
    wait_until: float | None = None
    outcome: Outcome | None = None
    position: Position | None = None
    wait_generation: int = 0
    execution_id: int | None = None
    queue: FairQueue | None = None
    deadline_timer: Timer | None = None
    wait_timer: Timer | None = None
    route: documents.Route | None = None
    statement_id: str = ''
    prepared: PreparedShape | None = None
    capacity_refusals: int = 0
    awaits_connection: bool = False
    was_queued: bool = False
    failed_targets: set[TargetKey] = msgspec.field(default_factory=set)
    credit: int | None = None
    is_charged: bool = False
    credit_wait_until: float = 0
    preferred_zone: str | None = None
    placed_at: float | None = None

    @property
    def priority(self) -> int:
        """Priority of its route; 0 is served first."""
        return 0 if self.route is None else self.route.priority

    @property
    def route_name(self) -> str:
        """Name of its route, or nothing without one."""
        return '' if self.route is None else self.route.name

    @property
    def is_pinning(self) -> bool:
        """Whether it is the first statement of a transaction on a route."""
        return self.session.transaction.is_awaiting_connection

    def may_take_last(self, now: float) -> bool:
        """Tell whether it may take the last connection that is left for single statements.

        A transaction may do that once half of its time is over, so that it does not wait forever.

        :param now: current time in seconds.
        """
        return not self.is_pinning or now > (self.arrived_at + self.deadline) / 2

    @property
    def has_used_attempts(self) -> bool:
        """Whether full instances have refused it as often as its route allows."""
        return self.route is not None and self.capacity_refusals >= self.route.max_attempts

    @property
    def step(self) -> Step:
        """Step that runs the statement without a required position."""
        return self.step_with_floor(None)

    def step_with_floor(self, floor: Position | None) -> Step:
        """Return the step that runs the statement if the instance has reached a position.

        :param floor: position that the instance must have, or ``None`` if none is required.
        """
        return Step(
            StepKind.statement,
            self.sql,
            floor=floor,
            statement_id=self.statement_id,
            prepared=self.prepared,
        )


class RequestTable:
    """Requests by identifier and by session."""

    __slots__ = ('_requests_by_session', '_requests')

    def __init__(self) -> None:
        """Create an empty table."""
        self._requests_by_session: dict[int, dict[int, Request]] = {}
        self._requests: dict[int, Request] = {}

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        """Iterate over the requests in progress."""
        return iter(self._requests.values())

    def get(self, request_id: int) -> Request | None:
        """Return a request in progress, or ``None`` if there is none with the identifier."""
        return self._requests.get(request_id)

    def list_for_session(self, session: Session) -> list[Request]:
        """Return the requests in progress of a session."""
        return list(self._requests_by_session.get(session.session_id, {}).values())

    def add(self, request: Request) -> None:
        """Add a request."""
        session_id = request.session.session_id
        self._requests_by_session.setdefault(session_id, {})[request.request_id] = request
        self._requests[request.request_id] = request

    def remove(self, request: Request) -> None:
        """Remove a request that has got its outcome."""
        self._requests.pop(request.request_id)
        session_requests = self._requests_by_session[request.session.session_id]
        session_requests.pop(request.request_id)
        if not session_requests:
            self._requests_by_session.pop(request.session.session_id)
