"""Guards against a measurement whose synthetic peers leave the engine without work."""

from bergamotcart_testkit.capacity import Scale, measure_control, measure_entry

_SCALE = Scale(nodes=4, groups=2, seconds=1)


def test_the_leader_is_measured_with_granted_leases():
    """A leader without entries would look free of cost."""
    sample = measure_control(_SCALE)
    # Four entries renew four times a second, and each renewal is answered by a grant.
    assert sample.messages_in >= 16
    assert sample.messages_out >= 16
    assert sample.change_bytes > 0


def test_the_entry_is_measured_with_probes_and_leases():
    """An entry that knows no target would look free of cost."""
    sample = measure_entry(_SCALE)
    assert sample.messages_in >= 4
    assert sample.messages_out > sample.messages_in
