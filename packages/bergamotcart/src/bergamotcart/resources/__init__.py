"""Limits on the memory and the descriptors of a process, without I/O."""

from bergamotcart.resources._connection_slots import Admission, ConnectionSlots
from bergamotcart.resources._limits import MAX_MESSAGE_BYTES, DescriptorShares, ResourceLimits
from bergamotcart.resources._memory_budget import MemoryBudget

__all__ = (
    'MAX_MESSAGE_BYTES',
    'Admission',
    'ConnectionSlots',
    'DescriptorShares',
    'MemoryBudget',
    'ResourceLimits',
)
