"""Tests that the leader brings entries up to date that missed an update or could not apply it."""

import pytest

from bergamotcart import messages
from bergamotcart.actions import Send
from bergamotcart.control.tests._world import LATENCY_S, World
from bergamotcart.control.tests.test_engine import request_change, start_world

_RENEWAL_S = 0.25
_POLICIES = 'policies: [{callers: ["*"], max_age_s: 1}]'


class _RecordingWorld(World):
    """Records the updates of the state, by recipient."""

    def __init__(self, seed: int = 1) -> None:
        self.updates: dict[str, list[messages.StateUpdate]] = {}
        super().__init__(seed)

    def start_entry(self, requests: int) -> str:
        """Start an entry that sends some requests at once, and return its name."""
        added = self.add_entries(1)[0]
        for _ in range(requests - 1):
            self._request_leases(added)
        return added.name

    def _execute_action(self, member, action) -> None:
        if isinstance(action, Send) and isinstance(action.body, messages.StateUpdate):
            self.updates.setdefault(action.recipient, []).append(action.body)
        super()._execute_action(member, action)


def _commit_unseen_change(world: World) -> int:
    """Commit a change whose updates are all lost and return its revision."""
    world.lost_type = messages.StateUpdate
    request_id = request_change(
        world, section='app', kind='policies', change_id='unseen', body=_POLICIES
    )
    world.run_until(lambda: request_id in world.replies)
    assert world.replies[request_id].status == 200, world.replies[request_id]
    world.run(0.01)
    return world.leader.engine.status(world.leader.clock.local_time(world.now)).revision


def test_entry_that_cannot_apply_changed_rows_gets_all_rows():
    """The leader would send it the same rows with each renewal."""
    world = start_world(world=_RecordingWorld())
    _commit_unseen_change(world)
    world.entries['entry-1'].needs_whole_state = True
    world.updates.clear()
    world.run(2 * _RENEWAL_S)
    assert all(update.from_index == 0 for update in world.updates['entry-1'])
    assert all(update.from_index > 0 for update in world.updates['entry-2'])
    world.lost_type = None
    revision = world.leader.engine.status(world.leader.clock.local_time(world.now)).revision
    world.run(_RENEWAL_S + 2 * LATENCY_S)
    assert world.entries['entry-1'].revision == revision


@pytest.mark.parametrize('seed', range(1, 6))
def test_new_leader_brings_entries_up_to_date_with_their_first_renewal(seed):
    """The former leader was lost between the commit of a change and its distribution."""
    world = start_world(seed, world=_RecordingWorld(seed))
    revision = _commit_unseen_change(world)
    world.crash(world.leader)
    assert all(each.revision < revision for each in world.entries.values())
    world.lost_type = None
    world.run_until(lambda: world.leader is not None)
    world.run(_RENEWAL_S + 4 * LATENCY_S)
    assert {each.revision for each in world.entries.values()} == {revision}


def test_lost_update_is_repeated_with_the_next_renewal():
    """Until then the entries serve what the change has replaced."""
    world = start_world()
    revision = _commit_unseen_change(world)
    world.lost_type = None
    world.run(_RENEWAL_S + 4 * LATENCY_S)
    assert {each.revision for each in world.entries.values()} == {revision}


def test_entry_gets_the_state_once_before_its_admission():
    """Many entries may start together, and each admission changes the state."""
    world = start_world(world=_RecordingWorld())
    name = world.start_entry(requests=5)
    world.run(LATENCY_S + 0.001)
    assert len(world.updates[name]) == 1
