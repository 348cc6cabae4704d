"""Logs that certainly contain every acknowledged write of a group with synchronous replicas.

The authority promotes an instance with the log that it has, so acknowledged writes survive only if
that log contains them. The freeze of the group makes their set final: entries acknowledge a write
only while the group is open, or until they acknowledge its freeze. After that, two kinds of answers
show which logs contain the whole set:

- The position of the instance that serves as primary, and of the one that did when the group was last
  open, since every write went through it.
- The highest position of the replicas, if so few of them have not answered that these alone could
  not have confirmed a write. All replicas of the term count, whoever they are: during a release,
  their number is higher than configured.
"""

from collections.abc import Iterable
from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus, OrderKind
from bergamotcart.control._group_progress import GroupProgress, OneTimeDecision
from bergamotcart.control._known_instances import KnownInstance
from bergamotcart.control._open_group import publish_group_decision
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._primary_choice import Candidate
from bergamotcart.control._step_context import StepContext
from bergamotcart.discovery import Position

# A replica may receive writes although control does not hear it, so it counts for this time.
UNHEARD_REPLICA_S: Final = 60.0
# Instances announce themselves about once a second until they end, which a leaving one does soon.
UNHEARD_LEAVING_REPLICA_S: Final = 5.0


class WriteCoverage(msgspec.Struct, frozen=True):
    """What the answers of a frozen group show about its acknowledged writes.

    :param primary: the instance that answered as primary of the newest term, or ``None``.
    :param unanswered: replicas that may have writes and have not answered.
    :param unknown: number of configured replicas that have never announced themselves.
    :param required_position: position from which a log contains every acknowledged write, or
        ``None`` if the answers do not show one.
    """

    primary: Candidate | None
    unanswered: tuple[str, ...]
    unknown: int
    required_position: Position | None

    def describe(self) -> str:
        """Return a text for the log."""
        head = _describe_position(self.primary) if self.primary else 'no primary answered'
        missing = ', '.join(self.unanswered) or 'none'
        required = self.required_position
        shown = f'{required.log_term}/{required.position}' if required else 'not known'
        return (
            f'required position {shown}; primary: {head}; '
            f'replicas without an answer: {missing}, never announced: {self.unknown}'
        )


def find_covering_candidates(
    context: StepContext,
    row: messages.GroupRow,
    progress: GroupProgress,
    candidates: list[Candidate],
) -> list[Candidate]:
    """Return the candidates whose logs certainly contain every acknowledged write.

    Without ``synchronous_replicas``, and before the first placement, these are all candidates.

    :param context: context of the current step.
    :param row: a group whose freeze is complete.
    :param progress: progress of the group.
    :param candidates: instances that have answered since the freeze was completed.
    """
    settings = context.document.groups[row.name]
    if not settings.synchronous_replicas or row.primary is None:
        return candidates
    coverage = find_write_coverage(context, row, candidates)
    required = coverage.required_position
    if required is None:
        covering = []
    else:
        covering = [candidate for candidate in candidates if candidate.position >= required]
    if not covering:
        progress.waiting_for = f'a log with every acknowledged write: {coverage.describe()}'
    decision = OneTimeDecision.writes_covered if covering else OneTimeDecision.writes_not_covered
    if progress.mark_published(decision):
        detail = f'{describe_candidates(candidates)}; {coverage.describe()}'
        detail = f'{detail}; {_describe_last_answer(context, row, progress)}'
        action = 'compare_logs' if covering else 'wait'
        publish_group_decision(context, row, action, decision.value, detail)
    return covering


def find_write_coverage(
    context: StepContext, row: messages.GroupRow, candidates: list[Candidate]
) -> WriteCoverage:
    """Return what the answers of a frozen group show about its acknowledged writes.

    :param context: context of the current step.
    :param row: a group whose freeze is complete.
    :param candidates: instances that have answered since the freeze was completed.
    """
    primary = _find_serving_primary(candidates)
    primaries = {row.served_by or row.primary}
    if primary is not None:
        primaries.add(primary.status.instance)
    answered = [each for each in candidates if each.status.instance not in primaries]
    answered_names = {each.status.instance for each in answered}
    unanswered = tuple(
        known_instance.announcement.instance
        for known_instance in context.local.instances.list_group(row.name)
        if known_instance.announcement.instance not in primaries | answered_names
        and _may_have_received(context, known_instance)
    )
    settings = context.document.groups[row.name]
    unknown = max(settings.instances - 1 - len(answered) - len(unanswered), 0)
    positions = [each.position for each in candidates if each.status.instance in primaries]
    # Fewer replicas than a write needs cannot have been the only ones that received it.
    if answered and len(unanswered) + unknown < settings.synchronous_replicas:
        positions.append(max(each.position for each in answered))
    return WriteCoverage(primary, unanswered, unknown, min(positions, default=None))


def describe_candidates(candidates: Iterable[Candidate]) -> str:
    """Return the position of each candidate, as a text for the log."""
    return ', '.join(_describe_position(candidate) for candidate in candidates)


def _find_serving_primary(candidates: list[Candidate]) -> Candidate | None:
    """Return the candidate that answered as primary of the newest term, or ``None``."""
    serving = [candidate for candidate in candidates if _is_primary(candidate.status)]
    return max(serving, key=lambda candidate: candidate.status.term, default=None)


def _may_have_received(context: StepContext, known_instance: KnownInstance) -> bool:
    """Tell whether an instance may lately have received writes as a replica.

    A new leader has not heard the instances that it knows from the replicated state, so their time
    begins with its own.
    """
    heard_at = max(known_instance.sent_after, context.local.leader_since)
    is_leaving = known_instance.announcement.leaving
    window_s = UNHEARD_LEAVING_REPLICA_S if is_leaving else UNHEARD_REPLICA_S
    return context.now - heard_at < window_s


def _describe_last_answer(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> str:
    """Return since when answers count, and what the former primary last answered before."""
    counted_s = context.now - (progress.freeze_completed_at or context.now)
    former = row.served_by or row.primary or ''
    state = context.local.orders.find(OrderKey(OrderKind.status, row.name, former, row.term))
    head = 'no answer'
    if state is not None and state.status is not None:
        age_s = context.now - state.status_sent_at
        head = f'{state.status.log_term}/{state.status.position}, asked {age_s:.3f} s ago'
    return f'answers count since {counted_s:.3f} s; last head of {former}: {head}'


def _describe_position(candidate: Candidate) -> str:
    status = candidate.status
    return f'{status.instance} at {status.log_term}/{status.position}'


def _is_primary(status: InstanceStatus) -> bool:
    return status.role is messages.TargetRole.primary
