"""Test of a candidate that requests votes before its log is synced."""

from bergamotcart import messages
from bergamotcart.consensus import Role
from bergamotcart.consensus.tests._cluster import Cluster, Server


def _exchange(cluster: Cluster, recipients: str, body_type: type) -> list[messages.Envelope]:
    """Deliver the requests in flight to some members, and return their answers of a type."""
    requests = [envelope for envelope in cluster.mail if envelope.recipient in recipients]
    cluster.mail.clear()
    for request in requests:
        cluster.deliver(request)
    answers = [envelope for envelope in cluster.mail if isinstance(envelope.body, body_type)]
    cluster.mail.clear()
    return answers


def _commit_without(cluster: Cluster, candidate: Server, short: str) -> None:
    """Commit a record that a member does not get and a candidate does not sync; stop the leader."""
    candidate.auto_sync = False
    cluster.cut.add(short)
    index = cluster.propose(b'one')
    cluster.run(0.3)
    assert len(cluster.oracle.committed) == index
    cluster.find_leader().stop()
    cluster.cut.clear()


def _start_candidacy(cluster: Cluster, candidate: Server) -> None:
    cluster.mail.clear()
    cluster.now += 1
    candidate.tick()


def test_late_votes_for_lost_records_elect_no_leader():
    """A committed record was lost: its voters had voted for a log that a crash shortened."""
    cluster = Cluster('abcde')
    cluster.start_all()
    leader = cluster.elect_leader()
    cluster.run(1)
    name, holder, late_holder, short = (known for known in 'abcde' if known != leader.name)
    candidate = cluster.servers[name]
    _commit_without(cluster, candidate, short)
    _start_candidacy(cluster, candidate)
    pre_votes = _exchange(cluster, holder + late_holder + short, messages.PreVoteResponse)
    late = [envelope for envelope in pre_votes if envelope.sender == late_holder]
    for pre_vote in pre_votes:
        if pre_vote not in late:
            cluster.deliver(pre_vote)
    late.extend(_exchange(cluster, holder + late_holder, messages.VoteResponse))
    candidate.stop()
    candidate.auto_sync = True
    candidate.start()
    _start_candidacy(cluster, candidate)
    for answer in _exchange(cluster, short, messages.PreVoteResponse) + late[:1]:
        cluster.deliver(answer)
    for vote in _exchange(cluster, short, messages.VoteResponse) + late[1:]:
        cluster.deliver(vote)
    assert candidate.node.role != Role.leader
