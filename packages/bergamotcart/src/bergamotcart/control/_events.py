"""Inputs and actions of the control engine."""

import enum

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision, MessageReceived, Send
from bergamotcart.consensus import DurableState, HardState, Snapshot, WriteBatch

# The durable types are defined in the consensus subpackage, which must not import this one.
__all__ = (
    'AnnouncementReceived',
    'BatchPersisted',
    'ContactPointsChanged',
    'ControlAction',
    'ControlInput',
    'DurableState',
    'HardState',
    'InstanceStatus',
    'OperatorCommand',
    'OperatorReply',
    'OperatorRequest',
    'Order',
    'OrderFinished',
    'OrderKind',
    'Snapshot',
    'StorageFull',
    'WriteBatch',
)


class BatchPersisted(msgspec.Struct, frozen=True):
    """The batch with this identifier and all batches before it are synced to disk."""

    batch_id: int


class StorageFull(msgspec.Struct, frozen=True):
    """The disk has no room for the oldest unsynced batch, which will be written again."""


@enum.unique
class OrderKind(enum.StrEnum):
    """Kinds of orders to the administration address of a target."""

    status = 'status'
    stop_following = 'stop_following'
    promote = 'promote'
    follow = 'follow'
    step_down = 'step_down'


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an instance to any order.

    :param log_term: log term of its last record.
    :param position: position of that record.
    :param following: instance that it follows, if any.
    :param accepted: false if the instance refused the order because it knows a newer term.
    :param open_connections: client connections that it has open, if it reports them.
    """

    group: str
    instance: str
    role: messages.TargetRole
    term: int
    log_term: int
    position: int
    following: str | None
    accepted: bool = True
    open_connections: int | None = None


class OrderFinished(msgspec.Struct, frozen=True):
    """An order was answered, or failed if ``status`` is ``None``."""

    order_id: int
    status: InstanceStatus | None


@enum.unique
class OperatorCommand(enum.StrEnum):
    """Kind of an operator's request."""

    get_document = 'get_document'
    replace_document = 'replace_document'
    change = 'change'
    history = 'history'
    status = 'status'
    members = 'members'
    caps = 'caps'


class OperatorRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request of an operator, with its decoded JSON body.

    :param token: bearer token; empty if there is none.
    """

    request_id: int
    command: OperatorCommand
    token: str
    body: dict[str, object]


class AnnouncementReceived(msgspec.Struct, frozen=True):
    """A target announced itself to this member."""

    announcement: messages.Announcement


class ContactPointsChanged(msgspec.Struct, frozen=True):
    """The settings now name other control members, which this member asks for admission.

    :param members: name and inter-process address of each control member.
    """

    members: tuple[tuple[str, str], ...]


ControlInput = (
    MessageReceived
    | BatchPersisted
    | StorageFull
    | OrderFinished
    | OperatorRequest
    | AnnouncementReceived
    | ContactPointsChanged
)


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Order to be sent to a target's administration address.

    :param primary: instance to follow, for ``follow``; its addresses are in
        ``primary_address`` and ``primary_admin_address``.
    :param fencing_token: number of the decision, for a promotion by an authority. It grows with
        each decision, and no two decisions or holders share one.
    :param holder: name of the member that decided, for a promotion by an authority.
    """

    order_id: int
    kind: OrderKind
    group: str
    instance: str
    admin_address: str
    term: int
    primary: str | None = None
    primary_address: str | None = None
    primary_admin_address: str | None = None
    fencing_token: int = 0
    holder: str = ''


class OperatorReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an operator.

    :param status: HTTP status; 421 means that the request must be sent to the
        ``leader_address`` in the body instead.
    """

    request_id: int
    status: int
    body: dict[str, object]


ControlAction = Send | WriteBatch | Order | OperatorReply | Decision
