"""Stand-in target: one instance of a database group, speaking MySQL and taking orders by HTTP."""

from bergamotcart_testkit.target._files import read_history
from bergamotcart_testkit.target._orders import OrderEvent
from bergamotcart_testkit.target._program import TargetCommand, run_target
from bergamotcart_testkit.target._records import Event, EventKind, LogPage, LogRecord
from bergamotcart_testkit.target._settings import TargetSettings, Tuning

__all__ = (
    'Event',
    'EventKind',
    'LogPage',
    'LogRecord',
    'OrderEvent',
    'TargetCommand',
    'TargetSettings',
    'Tuning',
    'read_history',
    'run_target',
)
