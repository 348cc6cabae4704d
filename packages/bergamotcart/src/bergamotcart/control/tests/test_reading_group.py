"""Test of the reads of routes during faults of instances, entries, control and authority."""

import os

import hypothesis
from hypothesis import strategies as st

from bergamotcart.control.tests._reading_group import ReadingGroup
from bergamotcart.control.tests._replicated_group import ENTRIES

# Replicas that lag by little more than the greatest age of a route are the hardest.
_LAGS_S = (0.03, 0.3, 1.0, 1.55, 1.7, 2.0, 2.6, 3.0)
_ANSWERS_S = (0.0, 0.0, 0.05, 0.4, 1.0)


def _delay_replication(group: ReadingGroup, detail: int) -> None:
    group.lag_s = _LAGS_S[detail % len(_LAGS_S)]


def _delay_answers(group: ReadingGroup, detail: int) -> None:
    group.answer_s = _ANSWERS_S[detail % len(_ANSWERS_S)]


def _delay_authority(group: ReadingGroup, detail: int) -> None:
    group.is_authority_late = detail % 2 == 0


def _cut_or_join_entry(group: ReadingGroup, detail: int) -> None:
    group.cut ^= {ENTRIES[detail % len(ENTRIES)]}


def _pause_or_resume_entry(group: ReadingGroup, detail: int) -> None:
    group.paused ^= {ENTRIES[detail % len(ENTRIES)]}


def _crash_primary_or_restart(group: ReadingGroup, detail: int) -> None:
    down = [instance for instance in group.instances.values() if not instance.is_running]
    for instance in down or [group.instances[group.primary]]:
        instance.is_running = bool(down)


def _drain_or_keep_primary(group: ReadingGroup, detail: int) -> None:
    leaving = [instance for instance in group.instances.values() if instance.leaving]
    for instance in leaving or [group.instances[group.primary]]:
        instance.leaving = not leaving
    group.announce_instances()


def _restart_control(group: ReadingGroup, detail: int) -> None:
    if detail % 2:
        group.restart_control()


def _heal(group: ReadingGroup, detail: int) -> None:
    group.cut.clear()
    group.paused.clear()
    group.answer_s = 0.0
    group.is_authority_late = False
    for instance in group.instances.values():
        instance.is_running = True


_FAULTS = (
    _delay_replication,
    _delay_replication,
    _delay_answers,
    _delay_authority,
    _cut_or_join_entry,
    _pause_or_resume_entry,
    _crash_primary_or_restart,
    _crash_primary_or_restart,
    _drain_or_keep_primary,
    _restart_control,
    _heal,
)
_EVENTS = st.tuples(
    st.sampled_from(_FAULTS), st.integers(0, 39), st.sampled_from((0.1, 0.3, 0.5, 1.0, 2.0))
)


def _check_reads(seed: int, synchronous_replicas: int, events: list[tuple]) -> None:
    group = ReadingGroup(seed, synchronous_replicas)
    group.run(2.0)
    assert group.reads, 'no read was answered without a fault'
    for inject, detail, duration_s in events:
        inject(group, detail)
        group.run(duration_s)
    stale = group.find_stale_reads()
    assert not stale, '\n'.join(stale)


def test_no_read_lacks_a_commit_that_its_route_guarantees():
    """Guards against reads that lack their session's writes or are older than allowed (STALE)."""
    seed = os.environ.get('BERGAMOTCART_FUZZ_SEED')
    settings = hypothesis.settings(
        max_examples=int(os.environ.get('BERGAMOTCART_FUZZ_EXAMPLES', '20')),
        derandomize=seed is None,
        deadline=None,
        database=None,
        # Shrinking a failure would take minutes, so its events are printed without it.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    check = hypothesis.given(
        seed=st.integers(0, 1000),
        synchronous_replicas=st.sampled_from((0, 1)),
        events=st.lists(_EVENTS, min_size=30, max_size=60),
    )(_check_reads)
    if seed:
        check = hypothesis.seed(int(seed))(check)
    settings(check)()
