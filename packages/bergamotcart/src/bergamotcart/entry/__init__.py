"""The entry engine: sessions, requests, leases held and transactions."""

from bergamotcart.entry._actions import (
    Drained,
    EntryAction,
    Execute,
    LimitConnections,
    Probe,
    ReleasePin,
    Reply,
)
from bergamotcart.entry._config import EntryConfig, EntryHealth, EntryOutbox, EntryStatus
from bergamotcart.entry._engine import EntryEngine
from bergamotcart.entry._execution import (
    ConnectionUse,
    ExecutionStatus,
    LedgerKey,
    LedgerRecord,
    Step,
    StepKind,
)
from bergamotcart.entry._inputs import (
    AnnouncementReceived,
    ConnectionCount,
    DrainRequested,
    EntryInput,
    ExecutionFinished,
    GroupSelected,
    PinLost,
    ProbeFinished,
    RequestArrived,
    SessionClosed,
    SessionOpened,
)

__all__ = (
    'AnnouncementReceived',
    'ConnectionCount',
    'ConnectionUse',
    'DrainRequested',
    'Drained',
    'EntryAction',
    'EntryConfig',
    'EntryEngine',
    'EntryHealth',
    'EntryInput',
    'EntryOutbox',
    'EntryStatus',
    'Execute',
    'ExecutionFinished',
    'ExecutionStatus',
    'GroupSelected',
    'LedgerKey',
    'LedgerRecord',
    'LimitConnections',
    'PinLost',
    'Probe',
    'ProbeFinished',
    'ReleasePin',
    'Reply',
    'RequestArrived',
    'SessionClosed',
    'SessionOpened',
    'Step',
    'StepKind',
)
