"""Limits on the memory and the descriptors of a process, without I/O."""

from bergamotcart.resources._connection_slots import Admission, ConnectionSlots
from bergamotcart.resources._limits import DescriptorShares, ResourceLimits
from bergamotcart.resources._memory_budget import MemoryBudget

__all__ = ('Admission', 'ConnectionSlots', 'DescriptorShares', 'MemoryBudget', 'ResourceLimits')
