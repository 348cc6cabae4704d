"""Slopes of processor time, messages and memory over the number of nodes.

One engine is fed with synthetic peers; nothing else runs. The time that the engine
sees is computed, so a run measures processor time per second of operation without
waiting for that second.
"""

from bergamotcart_testkit.capacity._control import measure_control
from bergamotcart_testkit.capacity._entry import measure_entry
from bergamotcart_testkit.capacity._sample import Sample, Scale

__all__ = ('Sample', 'Scale', 'measure_control', 'measure_entry')
