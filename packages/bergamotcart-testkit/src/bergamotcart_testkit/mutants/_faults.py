"""The table of deliberate faults."""

from typing import Final

from bergamotcart_testkit.mutants._coordination_faults import COORDINATION_FAULTS
from bergamotcart_testkit.mutants._entry_faults import ENTRY_FAULTS
from bergamotcart_testkit.mutants._limit_faults import LIMIT_FAULTS
from bergamotcart_testkit.mutants._load_faults import LOAD_FAULTS

FAULTS: Final = (*COORDINATION_FAULTS, *ENTRY_FAULTS, *LIMIT_FAULTS, *LOAD_FAULTS)
