"""Metrics of the daemon for the platform."""

from bergamotcart_daemon.metrics._metrics import Metrics, RenderedMetrics

__all__ = ('Metrics', 'RenderedMetrics')
