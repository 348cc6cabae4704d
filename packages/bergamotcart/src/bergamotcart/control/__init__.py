"""Control engine: replicated state, leases, failover and distribution of the state."""

from bergamotcart.control._configuration import (
    ControlConfiguration,
    ControlStatus,
    ControlStepResult,
)
from bergamotcart.control._engine import ControlEngine
from bergamotcart.control._events import (
    AnnouncementReceived,
    BatchPersisted,
    ContactPointsChanged,
    ControlAction,
    ControlInput,
    DurableState,
    HardState,
    InstanceStatus,
    OperatorCommand,
    OperatorReply,
    OperatorRequest,
    Order,
    OrderFinished,
    OrderKind,
    Snapshot,
    StorageFull,
    WriteBatch,
)

__all__ = (
    'AnnouncementReceived',
    'BatchPersisted',
    'ContactPointsChanged',
    'ControlAction',
    'ControlConfiguration',
    'ControlEngine',
    'ControlInput',
    'ControlStatus',
    'ControlStepResult',
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
