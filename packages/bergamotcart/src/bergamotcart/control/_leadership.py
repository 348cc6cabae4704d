"""Leadership of this member and the settings of its replicated log."""

from typing import Final

from bergamotcart import consensus
from bergamotcart.control._configuration import ControlConfiguration
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control._step_context import Leadership

# A leader that has heard from no majority of the voters for a while may have been replaced.
NO_QUORUM: Final = 'no_quorum'


def make_consensus_configuration(
    configuration: ControlConfiguration,
) -> consensus.ConsensusConfiguration:
    """Return the settings of the replicated log."""
    return consensus.ConsensusConfiguration(
        name=configuration.name,
        address=configuration.address,
        availability_zone=configuration.availability_zone,
        initial_members=tuple(
            consensus.InitialMember(name=name, address=address, availability_zone=zone)
            for name, address, zone in configuration.initial_members
        ),
        election_timeout_s=configuration.election_timeout_s,
        leader_heartbeat_interval_s=configuration.leader_heartbeat_interval_s,
        check_quorum_window_s=configuration.lease_duration_s,
        drift_margin=configuration.drift_margin,
        seed=configuration.seed,
        may_bootstrap=configuration.may_bootstrap,
        tolerated_losses=configuration.tolerated_losses,
        started_at=configuration.started_at,
    )


def find_leadership(
    node: consensus.ConsensusNode,
    state: ReplicatedState,
    now: float,
) -> Leadership:
    """Return whether this member may act as the leader, and the reason if it may not.

    Until a leader has applied the first record of its own term, it may lack records that its
    predecessor committed, such as a freeze.

    :param node: the replicated log.
    :param state: the state that this member has applied.
    :param now: monotonic time in seconds.
    """
    reason = ''
    if node.role != consensus.Role.leader:
        reason = 'not_leader'
    elif not node.has_quorum(now):
        reason = NO_QUORUM
    elif state.applied_term != node.term:
        reason = 'not_caught_up'
    return Leadership(
        may_act_as_leader=not reason,
        leader=node.leader,
        term=node.term,
        reason=reason,
        leader_address=node.leader_address,
    )
