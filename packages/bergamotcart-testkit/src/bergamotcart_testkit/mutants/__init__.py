"""Deliberate faults in a copy of the library, each of which a test must catch."""

from bergamotcart_testkit.mutants._copies import MutantError, apply_fault, library_source
from bergamotcart_testkit.mutants._fault import Fault, Replacement
from bergamotcart_testkit.mutants._faults import FAULTS

__all__ = ('FAULTS', 'Fault', 'MutantError', 'Replacement', 'apply_fault', 'library_source')
