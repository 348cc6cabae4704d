"""Metrics of the daemon in the Prometheus format."""

from bergamotcart_daemon.metrics._metrics import Metrics, RenderedMetrics

__all__ = ('Metrics', 'RenderedMetrics')
