"""Tests that the deliberate faults apply to the current sources."""

import pytest

from bergamotcart_testkit.mutants import FAULTS, Fault, apply_fault, library_source


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault.name)
def test_fault_applies(fault: Fault):
    """Guards against a fault that no longer changes the library, or changes another place."""
    text = (library_source() / fault.path).read_text()
    for replacement in fault.replacements:
        assert text.count(replacement.old) == 1
    assert apply_fault(fault, text) != text
    assert (library_source() / fault.tests.partition('::')[0]).exists()
