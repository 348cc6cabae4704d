"""Admission control: limits that keep callers from overloading targets.

Each process keeps its own limits; nothing here performs I/O.
"""

from bergamotcart.admission._caller_limits import CallerLimits
from bergamotcart.admission._concurrency_limit import ConcurrencyLimit, ConcurrencySettings
from bergamotcart.admission._connection_sharing import ConnectionSharing
from bergamotcart.admission._fair_queue import FairQueue
from bergamotcart.admission._lending import Grant, TargetLender, divide_fairly
from bergamotcart.admission._queue_pace import QueuePace
from bergamotcart.admission._quota import ConnectionQuota, QuotaReport
from bergamotcart.admission._read_pacer import ReadPacer
from bergamotcart.admission._reconnecting import Reconnecting
from bergamotcart.admission._retries import Backoff, RetryBudgets, RetryLimits
from bergamotcart.admission._waiting_level import Waiter

__all__ = (
    'Backoff',
    'CallerLimits',
    'ConcurrencyLimit',
    'ConcurrencySettings',
    'ConnectionQuota',
    'ConnectionSharing',
    'FairQueue',
    'Grant',
    'QueuePace',
    'QuotaReport',
    'ReadPacer',
    'Reconnecting',
    'RetryBudgets',
    'RetryLimits',
    'TargetLender',
    'Waiter',
    'divide_fairly',
)
