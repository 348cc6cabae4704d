"""Discovery of targets from announcements, relays and probes."""

from bergamotcart.discovery._announcement_relay import PeerAnnouncements, answer_pull
from bergamotcart.discovery._branches import is_discarded, satisfies_floor
from bergamotcart.discovery._position_history import KnownPosition, PrimaryPositionHistory
from bergamotcart.discovery._positions import Position, PositionReport, TargetKey, parse_count
from bergamotcart.discovery._target_table import KnownTarget, TargetTable, has_same_content

__all__ = (
    'KnownPosition',
    'KnownTarget',
    'PeerAnnouncements',
    'Position',
    'PositionReport',
    'PrimaryPositionHistory',
    'TargetKey',
    'TargetTable',
    'answer_pull',
    'has_same_content',
    'is_discarded',
    'parse_count',
    'satisfies_floor',
)
