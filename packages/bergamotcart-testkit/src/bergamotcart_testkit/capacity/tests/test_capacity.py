"""Tests that the synthetic peers cause the traffic whose cost is measured."""

from bergamotcart_testkit.capacity import Scale, measure_control, measure_entry

_SCALE = Scale(nodes=4, groups=2, seconds=1)


def test_leader_sample_includes_lease_traffic():
    """Guards against a leader without entries, whose measured cost is close to zero."""
    sample = measure_control(_SCALE)
    # Four entries renew four times a second, and each renewal is answered by a grant.
    assert sample.messages_in >= 16
    assert sample.messages_out >= 16
    assert sample.change_bytes > 0


def test_entry_sample_includes_probes_and_leases():
    """Guards against an entry without targets, whose measured cost is close to zero."""
    sample = measure_entry(_SCALE)
    assert sample.messages_in >= 4
    assert sample.messages_out > sample.messages_in
