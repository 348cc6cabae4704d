"""Measures the figures for which the design page sets targets."""

from bergamotcart_testkit.measure._failovers import Failover, Fault
from bergamotcart_testkit.measure._figures import Figure, Latencies
from bergamotcart_testkit.measure._measurement import Measurement, MeasureSettings
from bergamotcart_testkit.measure._program import MeasureCommand
from bergamotcart_testkit.measure._report import Report

__all__ = (
    'Failover',
    'Fault',
    'Figure',
    'Latencies',
    'MeasureCommand',
    'MeasureSettings',
    'Measurement',
    'Report',
)
