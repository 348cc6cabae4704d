"""Targets known from announcements, relays and probes."""

from bergamotcart.discovery._positions import Position, PositionReport, TargetKey

__all__ = ('Position', 'PositionReport', 'TargetKey')
