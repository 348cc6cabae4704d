"""Leadership of this member and the settings of its replicated log."""

from bergamotcart import consensus
from bergamotcart.control._config import ControlConfig
from bergamotcart.control._state import ReplicatedState
from bergamotcart.control._step_context import Leadership


def make_consensus_config(config: ControlConfig) -> consensus.ConsensusConfig:
    """Return the settings of the replicated log."""
    return consensus.ConsensusConfig(
        name=config.name,
        address=config.address,
        availability_zone=config.availability_zone,
        initial_members=tuple(
            consensus.InitialMember(name=name, address=address, availability_zone=zone)
            for name, address, zone in config.initial_members
        ),
        election_timeout_s=config.election_timeout_s,
        leader_heartbeat_interval_s=config.leader_heartbeat_interval_s,
        check_quorum_window_s=config.lease_duration_s,
        drift_margin=config.drift_margin,
        seed=config.seed,
        may_bootstrap=config.may_bootstrap,
        tolerated_losses=config.tolerated_losses,
        started_at=config.started_at,
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
        reason = 'no_quorum'
    elif state.applied_term != node.term:
        reason = 'not_caught_up'
    return Leadership(
        may_act_as_leader=not reason,
        leader=node.leader,
        term=node.term,
        reason=reason,
        leader_address=node.leader_address,
    )
