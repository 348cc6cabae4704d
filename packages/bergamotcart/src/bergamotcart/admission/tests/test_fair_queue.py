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


def _push(queue: FairQueue, request_id: int, **changed: object) -> Waiter | None:
    return queue.push(
        Waiter(**({'request_id': request_id, 'caller': 'a', 'deadline': 99} | changed))
    )


def _pop_ids(queue: FairQueue, now: float = 0.0) -> list[int]:
    return [queue.pop(now).request_id for _ in range(len(queue))]


def test_higher_priority_is_served_first():
    """A write must not wait for the reads of a crowd that arrived before it."""
    queue = FairQueue(10)
    for number in range(3):
        _push(queue, number, priority=2)
    _push(queue, 3, priority=1)
    assert (queue.count_ahead(1), queue.count_ahead(2)) == (1, 4)
    assert _pop_ids(queue) == [3, 0, 1, 2]


def test_overdue_requests_get_one_of_four_turns():
    """A low priority must not starve, nor take all turns once many of its requests are overdue."""
    queue = FairQueue(20)
    for number in range(8):
        _push(queue, number, priority=1)
    for number in (20, 21):
        _push(queue, number, priority=2, objective_s=1)
    assert _pop_ids(queue, now=5) == [0, 1, 2, 20, 3, 4, 5, 21, 6, 7]


def test_full_queue_evicts_lowest_priority():
    """A full queue of reads must not refuse a write."""
    queue = FairQueue(2)
    _push(queue, 0, priority=2)
    _push(queue, 1, priority=2, caller='b')
    assert _push(queue, 2, priority=1).request_id == 0
    assert _push(queue, 3, priority=3).request_id == 3
    assert _pop_ids(queue) == [2, 1]


def _depart(queue: FairQueue, count: int) -> None:
    for number in range(count):
        queue.pop()
        queue.pace.record_departure(number * 0.1)


def test_lowest_priority_is_shed_if_it_would_be_late():
    """Requests that wait for nothing lengthen the queue, and their callers learn of it late."""
    queue = FairQueue(100)
    for number in range(20):
        _push(queue, number, priority=1)
    _depart(queue, 10)
    _push(queue, 20, priority=2, deadline=1.5)
    assert queue.shed_late(0.9).request_id == 20
    assert queue.shed_late(0.9) is None


def test_transaction_leaves_connection_to_single_statements():
    """A transaction keeps a connection that many single statements could use meanwhile."""
    queue = FairQueue(10)
    _push(queue, 0, is_pinning=True, deadline=4)
    _push(queue, 1)
    assert queue.pop(1, may_pin=False).request_id == 1
    assert queue.pop(1, may_pin=False) is None
    assert queue.pop(2.1, may_pin=False).request_id == 0


def test_returning_request_keeps_its_place():
    """A request that an instance refused would otherwise wait for all others again."""
    queue = _build_queue('abc')
    _push(queue, 7, caller='z', is_returning=True)
    assert _pop_all_callers(queue) == 'zabc'
