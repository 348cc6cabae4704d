"""Tests the order, the capacity and the deadlines of the fair queue."""

from bergamotcart.admission import FairQueue, Waiter


def _build_queue(callers: str, capacity: int = 100) -> FairQueue:
    queue = FairQueue(capacity)
    for position, caller in enumerate(callers):
        assert queue.push(Waiter(position, caller, deadline=10 + position)) is None
    return queue


def _pop_all_callers(queue: FairQueue) -> str:
    return ''.join(waiter.caller for waiter in iter(queue.pop, None))


def test_callers_are_served_round_robin():
    """Another caller must not have to wait for all requests of a caller with many."""
    assert _pop_all_callers(_build_queue('aaaabbc')) == 'abcabaa'


def test_new_caller_is_served_after_one_request_of_each_other():
    """A caller that joins later must be neither first nor behind all queued requests."""
    queue = _build_queue('aaabbb')
    queue.pop()
    queue.push(Waiter(9, 'c', deadline=99))
    assert _pop_all_callers(queue) == 'bacbab'


def test_expired_requests_are_returned_once():
    """A request past its deadline would use a slot for a response that nobody waits for."""
    queue = _build_queue('aba')
    assert [waiter.request_id for waiter in queue.remove_expired(11)] == [0, 1]
    assert queue.remove_expired(11) == ()
    assert (_pop_all_callers(queue), len(queue)) == ('a', 0)


def test_full_queue_rejects_caller_with_most_requests():
    """The queue is bounded, and one caller must not take the whole of it."""
    queue = _build_queue('aaab', capacity=4)
    assert queue.push(Waiter(7, 'a', deadline=99)).request_id == 7
    assert queue.push(Waiter(8, 'b', deadline=99)).request_id == 2
    assert queue.push(Waiter(9, 'c', deadline=99)).request_id == 1
    assert _pop_all_callers(queue) == 'abcb'


def test_removed_request_is_not_popped():
    """A request of a caller that disconnected must not run."""
    queue = _build_queue('ab')
    assert queue.remove(0).caller == 'a'
    assert queue.remove(0) is None
    assert _pop_all_callers(queue) == 'b'
