"""Guards the order, the bound and the deadlines of waiting requests."""

from bergamotcart.admission import FairQueue, Waiter


def _filled(callers: str, capacity: int = 100) -> FairQueue:
    queue = FairQueue(capacity)
    for position, caller in enumerate(callers):
        assert queue.offer(Waiter(position, caller, deadline=10 + position)) is None
    return queue


def _drain(queue: FairQueue) -> str:
    return ''.join(waiter.caller for waiter in iter(queue.take, None))


def test_callers_take_turns():
    """A caller with many requests must not delay the others by all of them."""
    assert _drain(_filled('aaaabbc')) == 'abcabaa'


def test_a_newcomer_waits_for_one_turn_of_each():
    """Joining late must not put a caller ahead of or behind everyone."""
    queue = _filled('aaabbb')
    queue.take()
    queue.offer(Waiter(9, 'c', deadline=99))
    assert _drain(queue) == 'bacbab'


def test_expired_requests_are_reported_once():
    """A request past its deadline would use a slot for an answer that nobody awaits."""
    queue = _filled('aba')
    assert [waiter.request_id for waiter in queue.expire(11)] == [0, 1]
    assert queue.expire(11) == ()
    assert (_drain(queue), len(queue)) == ('a', 0)


def test_a_full_queue_refuses_the_caller_with_most_requests():
    """Unbounded waiting helps nobody, but one caller must not fill the whole queue."""
    queue = _filled('aaab', capacity=4)
    assert queue.offer(Waiter(7, 'a', deadline=99)).request_id == 7
    assert queue.offer(Waiter(8, 'b', deadline=99)).request_id == 2
    assert queue.offer(Waiter(9, 'c', deadline=99)).request_id == 1
    assert _drain(queue) == 'abcb'


def test_a_removed_request_is_not_taken():
    """The request of a caller that went away must not run."""
    queue = _filled('ab')
    assert queue.remove(0).caller == 'a'
    assert queue.remove(0) is None
    assert _drain(queue) == 'b'
