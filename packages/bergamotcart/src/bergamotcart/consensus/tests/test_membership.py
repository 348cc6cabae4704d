"""Guards the return of emptied members, and changes of the membership."""

import msgspec

from bergamotcart.consensus import Role
from bergamotcart.consensus.tests._cluster import Cluster, Server


def _start_cluster(**settings: object) -> Cluster:
    cluster = Cluster(**settings)
    cluster.start_all()
    cluster.elect()
    cluster.propose(b'one')
    cluster.run(1)
    return cluster


def _empty_data_folder(cluster: Cluster, name: str) -> None:
    server = cluster.servers[name]
    server.stop()
    server.replace_disk()
    server.start()


def test_an_emptied_member_has_no_vote_until_it_is_readmitted():
    """A lost disk must not undo a vote: the other two are needed meanwhile."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    emptied, other = [name for name in 'abc' if name != leader.name]
    _empty_data_folder(cluster, emptied)
    cluster.servers[other].stop()
    cluster.run(10)
    assert cluster.find_leader() is None
    cluster.servers[other].start()
    cluster.elect()
    cluster.run_until_all_vote()
    cluster.servers[other].stop()
    cluster.propose(b'two')
    cluster.run(1)
    assert cluster.oracle.committed[-1].command == b'two'


def test_each_member_is_emptied_in_turn():
    """A second loss right after the first repair must not lose accepted state."""
    cluster = _start_cluster(trailing_records=0)
    for name in 'abcab':
        cluster.find_leader().take_snapshot()
        _empty_data_folder(cluster, name)
        cluster.run_until_all_vote()
    cluster.propose(b'two')
    cluster.run(1)
    commands = [entry.command for entry in cluster.oracle.committed if entry.command]
    assert commands == [b'one', b'two']
    assert len({server.applied_index for server in cluster.servers.values()}) == 1


def test_emptied_members_form_no_second_group():
    """Two emptied members out of three must not outvote the one that holds the state."""
    cluster = _start_cluster()
    elections = len(cluster.oracle.leaders)
    _empty_data_folder(cluster, 'a')
    _empty_data_folder(cluster, 'b')
    cluster.run(20)
    assert len(cluster.oracle.leaders) == elections


def test_buffered_formation_messages_do_not_form_a_second_group():
    """Grants to a former incarnation must not count for an emptied member."""
    cluster = Cluster()
    cluster.start_all()
    kept = []
    while cluster.find_leader() is None:
        kept.extend(cluster.in_flight)
        cluster.run(0.01)
    for name in 'abc':
        _empty_data_folder(cluster, name)
        emptied = cluster.servers[name]
        # Only old messages reach it, as if the others were cut off.
        for _ in range(20):
            cluster.now += 0.1
            emptied.tick()
            for envelope in kept:
                if envelope.recipient == name:
                    cluster.deliver(envelope)
        assert emptied.node.leader != name
        cluster.run_until_all_vote()


def test_a_new_member_is_admitted_and_an_old_one_removed():
    """An operator must be able to replace a VM under another name."""
    cluster = _start_cluster()
    cluster.add_server('d').start()
    cluster.run(2)
    leader = cluster.find_leader()
    newcomer = leader.node.newcomers[0]
    at_once = msgspec.structs.replace(newcomer, voter=True)
    assert leader.node.propose_members(leader.now, (*leader.node.members, at_once)) is None
    assert leader.node.propose_members(leader.now, (*leader.node.members, newcomer))
    leader.process_outputs()
    cluster.run_until_all_vote()
    old = cluster.elect()
    kept = tuple(member for member in old.node.members if member.name != old.name)
    assert old.node.propose_members(old.now, kept) is None
    old.node.resign(old.now)
    cluster.run(1)
    leader = cluster.elect()
    assert leader.node.propose_members(leader.now, kept)
    leader.process_outputs()
    cluster.run(3)
    assert {member.name for member in cluster.elect().node.members} == set('abcd') - {old.name}


def test_two_voters_at_once_are_refused():
    """Majorities before and after a change must meet, or two leaders could be elected."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    members = leader.node.members
    only_leader = tuple(member for member in members if member.name == leader.name)
    renamed = msgspec.structs.replace(members[0], incarnation='new')
    assert leader.node.propose_members(leader.now, only_leader) is None
    assert leader.node.propose_members(leader.now, (renamed, *members[1:])) is None
    others = [member for member in members if member.name != leader.name]
    without_one = tuple(member for member in members if member != others[0])
    assert leader.node.propose_members(leader.now, without_one)
    assert leader.node.propose_members(leader.now, members) is None


def test_no_change_before_a_record_of_the_own_term_is_committed():
    """A change based on an uncommitted one of an earlier leader could split the group."""
    cluster = _start_cluster()
    old = cluster.find_leader()
    old.stop()
    while not any(_is_leader(server) for server in cluster.servers.values()):
        cluster.run(0.01)
    leader = next(server for server in cluster.servers.values() if _is_leader(server))
    without_old = tuple(member for member in leader.node.members if member.name != old.name)
    assert leader.node.propose_members(leader.now, without_old) is None
    cluster.run(1)
    assert leader.node.propose_members(leader.now, without_old)


def test_a_buffered_announcement_of_a_former_incarnation_is_ignored():
    """It would cost the present incarnation its vote while that is down."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    name = next(name for name in 'abc' if name != leader.name)
    _empty_data_folder(cluster, name)
    kept = []
    while not cluster.servers[name].node.is_voter:
        kept.extend(cluster.in_flight)
        cluster.run(0.01)
        cluster.propose_next_membership()
    _empty_data_folder(cluster, name)
    cluster.run_until_all_vote()
    cluster.servers[name].stop()
    cluster.run(5)
    for envelope in kept:
        if envelope.sender == name:
            cluster.deliver(envelope)
    assert not leader.node.newcomers


def test_a_member_that_restarts_gives_no_vote_at_once():
    """It may have answered a leader just before, which relies on that for its quorum."""
    cluster = _start_cluster()
    leader = cluster.find_leader()
    voter, candidate = [name for name in 'abc' if name != leader.name]
    cluster.servers[voter].stop()
    cluster.servers[voter].start()
    term = leader.node.term
    cluster.in_flight.clear()
    cluster.request_vote(candidate, voter)
    assert (cluster.in_flight, cluster.servers[voter].node.term) == ([], term)
    assert leader.node.has_quorum(leader.now)


def _is_leader(server: Server) -> bool:
    return server.node is not None and server.node.role == Role.leader
