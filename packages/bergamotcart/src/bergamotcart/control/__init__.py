"""Control engine: replicated state, leases, failover and distribution of the state."""

from bergamotcart.control._config import ControlConfig, ControlOutbox, ControlStatus
from bergamotcart.control._engine import ControlEngine
from bergamotcart.control._events import (
    ContactsChanged,
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
    Persist,
    Persisted,
    Snapshot,
    TargetAnnounced,
)

__all__ = (
    'ContactsChanged',
    'ControlAction',
    'ControlConfig',
    'ControlEngine',
    'ControlInput',
    'ControlOutbox',
    'ControlStatus',
    'DurableState',
    'HardState',
    'InstanceStatus',
    'OperatorCommand',
    'OperatorReply',
    'OperatorRequest',
    'Order',
    'OrderFinished',
    'OrderKind',
    'Persist',
    'Persisted',
    'Snapshot',
    'TargetAnnounced',
)
