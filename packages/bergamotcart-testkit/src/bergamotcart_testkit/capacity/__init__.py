"""Measures how processor time, messages and memory grow with the number of nodes.

One engine exchanges messages with synthetic peers; no other process runs. The clock of
the engine is simulated, so that a run measures processor time per second of operation
without waiting for that second.
"""

from bergamotcart_testkit.capacity._control import measure_control
from bergamotcart_testkit.capacity._entry import measure_entry
from bergamotcart_testkit.capacity._sample import Sample, Scale

__all__ = ('Sample', 'Scale', 'measure_control', 'measure_entry')
