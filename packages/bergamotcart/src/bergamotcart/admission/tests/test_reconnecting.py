"""Tests when an entry opens connections to a target that refuses them."""

import random

import pytest

from bergamotcart.admission import Reconnecting


def test_pause_grows_with_number_of_entries():
    """If all entries tried again at once, opening connections would fill the slots."""
    rng = random.Random(1)
    reconnecting = Reconnecting(0)
    pauses = [reconnecting.pause_s(66, 4, rng) for _ in range(200)]
    # 66 connections take 66 * 12 ms of 4 slots.
    assert sum(pauses) / len(pauses) == pytest.approx(0.2, rel=0.05)
    assert max(pauses) > 2 * min(pauses)


def test_one_connection_is_opened_until_it_serves():
    """At a start, a second connection of one entry would be missing to another entry."""
    reconnecting = Reconnecting(0)
    assert reconnecting.may_open(0)
    assert not reconnecting.may_open(1)
    reconnecting.record_answer()
    assert reconnecting.may_open(1)
    reconnecting.record_refusal()
    assert not reconnecting.may_open(1)


def test_connections_are_not_expected_forever():
    """Later than that after the start, living processes hold the connections of a full target."""
    reconnecting = Reconnecting(0)
    assert not reconnecting.is_expected(0)
    reconnecting.record_refusal()
    assert reconnecting.is_expected(3.9)
    assert not reconnecting.is_expected(4.1)
