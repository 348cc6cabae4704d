"""Targets known from announcements, relays and probes."""

from bergamotcart.discovery._branches import is_discarded, meets
from bergamotcart.discovery._heads import HeadHistory
from bergamotcart.discovery._positions import Position, PositionReport, TargetKey
from bergamotcart.discovery._table import KnownTarget, TargetTable

__all__ = (
    'HeadHistory',
    'KnownTarget',
    'Position',
    'PositionReport',
    'TargetKey',
    'TargetTable',
    'is_discarded',
    'meets',
)
