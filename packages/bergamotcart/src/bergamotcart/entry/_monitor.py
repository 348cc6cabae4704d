"""Probes of targets, which show their reachability, role and log position."""

from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from bergamotcart.admission import Backoff
from bergamotcart.discovery import KnownTarget, Position, PositionReport, TargetKey
from bergamotcart.entry._actions import Probe
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._inputs import ProbeFinished
from bergamotcart.entry._timers import Timer
from bergamotcart.messages import Reachability, TargetReport

PROBE_INTERVAL_S: Final = 0.25
# Idle groups are probed less often: with nine idle targets, four probes a second to each took most
# of the processor time of an idle entry.
IDLE_PROBE_INTERVAL_S: Final = 1.0
# A group counts as idle if it has had no request for this time.
IDLE_AFTER_S: Final = 10.0
# A primary whose answers carry positions is probed only if it has not answered for this long.
# Control probes it four times a second, and tells the entries to probe it if it does not answer.
ANSWERED_PROBE_INTERVAL_S: Final = 5.0
# Interval without a valid lease, when control cannot tell the entry about a silent primary.
UNLEASED_PROBE_INTERVAL_S: Final = 0.5
# Shortest interval between probes of a primary that control suspects to be lost. All entries probe
# it then, and together they must not use up its connection slots.
SUSPECT_PROBE_INTERVAL_S: Final = 0.5
# Number of entries that may probe an instance at the usual interval. With more entries, each probes
# less often, so that the total load on the instance stays the same.
_FULL_RATE_ENTRIES: Final = 16
# Delay before a probe that requests wait for is repeated after an instance refused it, since a full
# instance would refuse an immediate one too.
_REFUSED_PROBE_BACKOFF: Final = Backoff(initial_delay_s=0.1, max_delay_s=1.6)
# Interval between probes of a replica that is behind an awaited position. If the replica answers
# without progress, probing it again at once would be a busy loop.
_AWAITED_PROBE_INTERVAL_S: Final = 0.005
# The adapter should report every probe by its timeout. If no report has come this much later, the
# target counts as silent.
_REPORT_GRACE_S: Final = 0.5
# Time for which no read is sent to an instance that has refused one for its position. It doubles
# with each further refusal.
_BEHIND_BACKOFF: Final = Backoff(initial_delay_s=0.1, max_delay_s=1.6)
_MAY_ANSWER: Final = frozenset((Reachability.reachable, Reachability.resetting))
_INITIAL_CATCH_UP_S: Final = 0.01
_CATCH_UP_WEIGHT: Final = 0.2


class MonitoredTarget(msgspec.Struct):
    """State of one target, as known from probes and from answers to statements.

    :param report: newest report of the current incarnation.
    :param report_sent_at: send time of the probe that returned this report, in seconds.
    :param reachability: reachability, or ``None`` before the first answer or failure.
    :param reachability_since: time from which the reachability holds, in seconds.
    :param in_flight: whether a probe is in flight.
    :param last_sent_at: send time of the newest probe, in seconds.
    :param finished_probe_sent_at: send time of the newest probe that has finished, in seconds.
    :param awaited_position: position that the newest probe asked the instance to wait for, if any.
    :param report_needed_after: requests need a report of a probe sent after this time, in seconds.
    :param catch_up_s: smoothed time that the instance needs to reach an awaited position, in
        seconds.
    :param timer: starts the next probe, or ends the one in flight if its report is lost.
    :param last_answered_at: time of the last answer of any kind, in seconds.
    :param position: newest position that an answer to a statement carried.
    :param refused_probes: number of consecutive probes that it refused.
    :param refused_until: time before which a refused probe is not repeated, in seconds.
    :param behind_refusals: number of consecutive reads that it refused for its position.
    :param behind_until: time until which it is assumed to be too far behind for reads, in seconds.
    """

    key: TargetKey
    incarnation: str
    report: PositionReport | None = None
    report_sent_at: float = float('-inf')
    reachability: Reachability | None = None
    reachability_since: float = 0.0
    in_flight: bool = False
    last_sent_at: float = float('-inf')
    finished_probe_sent_at: float = float('-inf')
    awaited_position: Position | None = None
    report_needed_after: float = float('-inf')
    catch_up_s: float = _INITIAL_CATCH_UP_S
    timer: Timer | None = None
    last_answered_at: float = float('-inf')
    position: Position | None = None
    refused_probes: int = 0
    refused_until: float = float('-inf')
    behind_refusals: int = 0
    behind_until: float = float('-inf')

    @property
    def may_answer(self) -> bool:
        """Whether the target may answer statements, although it may be full."""
        return self.reachability in _MAY_ANSWER


class TargetMonitor:
    """Probes each monitored target periodically, and at once when a report is needed.

    :param on_probe_report: called with each accepted report and the send time of its probe.
    :param on_statement_answer: called with the send time of a statement and the position that its answer
        carried.
    :param on_reachability_changed: called when the reachability of a target changes.
    :param lowest_awaited_position: returns the lowest position that requests wait for a target to
        reach, or ``None``.
    """

    __slots__ = (
        '_lowest_awaited_position',
        '_group_used_at',
        '_on_statement_answer',
        '_on_reachability_changed',
        '_on_probe_report',
        '_monitored',
        '_context',
        'reports_version',
    )

    def __init__(
        self,
        context: EngineContext,
        on_probe_report: Callable[[MonitoredTarget, float], None],
        on_statement_answer: Callable[[MonitoredTarget, float, Position], None],
        on_reachability_changed: Callable[[MonitoredTarget], None],
        lowest_awaited_position: Callable[[TargetKey], Position | None],
    ) -> None:
        """Create the monitor without targets."""
        self._context = context
        self._on_probe_report = on_probe_report
        self._on_statement_answer = on_statement_answer
        self._on_reachability_changed = on_reachability_changed
        self._lowest_awaited_position = lowest_awaited_position
        self._monitored: dict[TargetKey, MonitoredTarget] = {}
        self._group_used_at: dict[str, float] = {}
        self.reports_version = 1

    def __iter__(self) -> Iterator[MonitoredTarget]:
        """Iterate over all monitored targets."""
        return iter(self._monitored.values())

    def get(self, key: TargetKey) -> MonitoredTarget | None:
        """Return the state of a target, or ``None`` if it is not monitored."""
        return self._monitored.get(key)

    def is_reachable(self, key: TargetKey) -> bool:
        """Tell whether the last probe or statement was answered.

        Where answers carry positions, a target that was never probed also counts as reachable:
        its announcements are recent, and the first statement shows whether it answers.
        """
        monitored = self._monitored.get(key)
        if monitored is None:
            return False
        if monitored.reachability is None:
            return self._context.control_view.answers_carry_positions(key.group)
        return monitored.may_answer

    def reachability_reports(self) -> tuple[TargetReport, ...]:
        """Return the reachability reports for control."""
        return tuple(
            TargetReport(
                group=monitored.key.group,
                instance=monitored.key.instance,
                reachability=monitored.reachability,
                for_s=self._context.now - monitored.reachability_since,
            )
            for monitored in self._monitored.values()
            if monitored.reachability is not None
        )

    def watch(self, target: KnownTarget) -> None:
        """Start to probe a target, or reset its state if it has a new incarnation."""
        monitored = self._monitored.get(target.key)
        if monitored is None:
            monitored = MonitoredTarget(target.key, target.announcement.incarnation)
            self._monitored[target.key] = monitored
            if not self._context.control_view.answers_carry_positions(target.key.group):
                self._send_probe(monitored)
            return
        if monitored.incarnation != target.announcement.incarnation:
            monitored.incarnation = target.announcement.incarnation
            monitored.report = None
            monitored.position = None
            self.probe_now(target.key)

    def unwatch(self, key: TargetKey) -> None:
        """Stop probing a target."""
        monitored = self._monitored.pop(key, None)
        self.reports_version += 1
        if monitored is not None and monitored.timer is not None:
            monitored.timer.cancel()

    def record_group_use(self, group: str) -> None:
        """Record a request for a group, so that its targets are probed at the usual interval."""
        was_idle = self._is_group_idle(group)
        self._group_used_at[group] = self._context.now
        if was_idle and not self._context.control_view.answers_carry_positions(group):
            for target in self._context.targets.list_group(group):
                self.probe_now(target.key)

    def request_report_after(self, key: TargetKey, after: float) -> None:
        """Request a report of a probe that is sent after a time.

        :param after: time, in seconds.
        """
        monitored = self._monitored.get(key)
        if monitored is None:
            return
        monitored.report_needed_after = max(monitored.report_needed_after, after)
        if not monitored.in_flight:
            self._send_needed_probe(monitored)

    def probe_now(self, key: TargetKey) -> None:
        """Probe a target at once unless a probe is in flight."""
        monitored = self._monitored.get(key)
        if monitored is not None and not monitored.in_flight:
            self._send_probe(monitored)

    def probe_suspect(self, key: TargetKey) -> None:
        """Probe a target suspected by control, unless it was probed or answered recently."""
        monitored = self._monitored.get(key)
        if monitored is None or monitored.in_flight:
            return
        last = max(monitored.last_answered_at, monitored.last_sent_at)
        if self._context.now - last >= SUSPECT_PROBE_INTERVAL_S * self._interval_factor:
            self._send_probe(monitored)

    def record_answer(self, key: TargetKey, sent_at: float, position: Position) -> None:
        """Record the position that an answer to a statement carried.

        :param sent_at: time at which the statement was sent, in seconds.
        """
        monitored = self._monitored.get(key)
        if monitored is None:
            return
        monitored.last_answered_at = self._context.now
        if monitored.position is None or position > monitored.position:
            monitored.position = position
        self._set_reachability(monitored, Reachability.reachable)
        self._on_statement_answer(monitored, sent_at, position)

    def record_behind(self, key: TargetKey) -> None:
        """Record that a target refused a read because it lacks the required position."""
        monitored = self._monitored.get(key)
        if monitored is None or monitored.behind_until > self._context.now:
            return
        delay_s = _BEHIND_BACKOFF.delay_s(monitored.behind_refusals, self._context.random)
        monitored.behind_refusals += 1
        monitored.behind_until = self._context.now + delay_s
        self._context.publish_decision(
            'limits',
            'avoid',
            'behind',
            group=key.group,
            target=key.instance,
            detail=f'{delay_s:.3f} s after {monitored.behind_refusals} refusals, '
            f'position {monitored.position}',
        )

    def record_caught_up(self, key: TargetKey) -> None:
        """Record that a target had the position that a read required."""
        monitored = self._monitored.get(key)
        if monitored is not None:
            monitored.behind_refusals = 0
            monitored.behind_until = float('-inf')

    def record_refused_connection(self, key: TargetKey) -> None:
        """Record that a target refused a connection, and probe it."""
        monitored = self._monitored.get(key)
        if monitored is not None:
            self._set_reachability(monitored, Reachability.refusing)
            self.probe_now(key)

    def finish_probe(self, finished: ProbeFinished) -> None:
        """Process the result of a probe; ignore a late or repeated result."""
        monitored = self._monitored.get(finished.target)
        if monitored is None or finished.sent_at < monitored.last_sent_at:
            return
        was_in_flight = monitored.in_flight
        is_repeated = not was_in_flight and finished.sent_at <= monitored.finished_probe_sent_at
        monitored.in_flight = False
        monitored.finished_probe_sent_at = max(monitored.finished_probe_sent_at, finished.sent_at)
        if is_repeated:
            return
        if finished.report is None:
            # The adapter also reports a failure on its own when the connection for probes breaks.
            self._record_probe_failure(monitored, finished.failure or Reachability.silent)
        elif finished.sent_at > monitored.report_sent_at:
            self._accept_report(monitored, finished.report, finished.sent_at)
        self._schedule_probe(monitored)

    def _record_probe_failure(self, monitored: MonitoredTarget, failure: Reachability) -> None:
        if failure in _MAY_ANSWER:
            self._record_refused_probe(monitored)
        silent_for_s = self._context.now - monitored.last_answered_at
        if (
            failure is Reachability.resetting
            and silent_for_s < self._context.configuration.silence_timeout_s
        ):
            # Its recent answer shows that it runs, so it is full.
            failure = Reachability.reachable
        self._set_reachability(monitored, failure)

    def _record_refused_probe(self, monitored: MonitoredTarget) -> None:
        """Delay the next probe of an instance that answers but has no capacity for probes."""
        delay_s = _REFUSED_PROBE_BACKOFF.delay_s(monitored.refused_probes, self._context.random)
        monitored.refused_probes += 1
        monitored.refused_until = self._context.now + delay_s

    def _send_needed_probe(self, monitored: MonitoredTarget) -> None:
        """Send a probe that requests wait for, after the delay that follows a refused one."""
        delay_s = monitored.refused_until - self._context.now
        if delay_s <= 0:
            self._send_probe(monitored)
            return
        if monitored.timer is not None:
            monitored.timer.cancel()
        monitored.timer = self._context.call_later(delay_s, lambda: self._send_probe(monitored))

    def _accept_report(
        self, monitored: MonitoredTarget, report: PositionReport, sent_at: float
    ) -> None:
        progressed = monitored.report is None or report.position > monitored.report.position
        monitored.report = report
        monitored.report_sent_at = sent_at
        monitored.refused_probes = 0
        monitored.refused_until = float('-inf')
        monitored.last_answered_at = self._context.now
        self._update_catch_up_time(monitored, report)
        self._set_reachability(monitored, Reachability.reachable)
        self._on_probe_report(monitored, sent_at)
        may_repeat = progressed or monitored.awaited_position is None
        if (
            may_repeat
            and not monitored.in_flight
            and self._lowest_awaited_position(monitored.key) is not None
        ):
            self._send_probe(monitored)

    def _update_catch_up_time(self, monitored: MonitoredTarget, report: PositionReport) -> None:
        if monitored.awaited_position is None:
            return
        elapsed_s = self._context.now - monitored.last_sent_at
        if report.position < monitored.awaited_position:
            elapsed_s = max(2 * elapsed_s, monitored.catch_up_s)
        monitored.catch_up_s += _CATCH_UP_WEIGHT * (elapsed_s - monitored.catch_up_s)

    def _set_reachability(self, monitored: MonitoredTarget, reachability: Reachability) -> None:
        if monitored.reachability is reachability:
            return
        monitored.reachability = reachability
        self.reports_version += 1
        monitored.reachability_since = self._context.now
        self._on_reachability_changed(monitored)

    def _schedule_probe(self, monitored: MonitoredTarget) -> None:
        if monitored.in_flight or self._monitored.get(monitored.key) is not monitored:
            return
        is_answered = monitored.may_answer
        if is_answered and monitored.report_needed_after >= monitored.report_sent_at:
            self._send_needed_probe(monitored)
            return
        is_awaited = is_answered and self._lowest_awaited_position(monitored.key) is not None
        delay_s = _AWAITED_PROBE_INTERVAL_S if is_awaited else self._probe_interval_s(monitored)
        if monitored.timer is not None:
            monitored.timer.cancel()
        monitored.timer = self._context.call_later(delay_s, lambda: self._probe_if_due(monitored))

    def _probe_if_due(self, monitored: MonitoredTarget) -> None:
        """Probe a target unless its recent answers to statements make a probe unnecessary."""
        is_answered = monitored.may_answer
        if not (
            is_answered and self._context.control_view.answers_carry_positions(monitored.key.group)
        ):
            self._send_probe(monitored)
            return
        interval_s = (
            ANSWERED_PROBE_INTERVAL_S if self._context.lease_valid else UNLEASED_PROBE_INTERVAL_S
        )
        interval_s *= self._interval_factor
        due_at = monitored.last_answered_at + interval_s
        is_primary = (
            self._context.control_view.is_primary(monitored.key) or not self._context.lease_valid
        )
        if is_primary and due_at <= self._context.now:
            self._send_probe(monitored)
            return
        delay_s = max(due_at - self._context.now, UNLEASED_PROBE_INTERVAL_S / 2)
        monitored.timer = self._context.call_later(delay_s, lambda: self._probe_if_due(monitored))

    def _probe_interval_s(self, monitored: MonitoredTarget) -> float:
        # A target that does not answer is probed often, so that its recovery is detected soon.
        is_answered = monitored.may_answer
        if is_answered and self._is_group_idle(monitored.key.group):
            return IDLE_PROBE_INTERVAL_S
        if not self._context.control_view.answers_carry_positions(monitored.key.group):
            return PROBE_INTERVAL_S
        # Randomized, so that entries that lost a target at the same time do not probe it at the
        # same time.
        spread = 1 + self._context.random.random()
        return PROBE_INTERVAL_S * self._interval_factor * spread

    @property
    def _interval_factor(self) -> float:
        """Factor by which the probe interval grows, because other entries send probes as well."""
        return max(1.0, len(self._context.control_view.entries) / _FULL_RATE_ENTRIES)

    def _is_group_idle(self, group: str) -> bool:
        used_at = self._group_used_at.get(group, float('-inf'))
        return self._context.now - used_at > IDLE_AFTER_S

    def _send_probe(self, monitored: MonitoredTarget) -> None:
        target = self._context.targets.get(monitored.key)
        if monitored.in_flight or target is None:
            return
        if monitored.timer is not None:
            monitored.timer.cancel()
        monitored.in_flight = True
        monitored.last_sent_at = self._context.now
        monitored.awaited_position = self._lowest_awaited_position(monitored.key)
        timeout_s = self._context.configuration.silence_timeout_s
        self._context.actions.append(
            Probe(
                target=monitored.key,
                address=target.announcement.address,
                wait_for=monitored.awaited_position,
                timeout_s=timeout_s,
            )
        )
        sent_at = monitored.last_sent_at
        monitored.timer = self._context.call_later(
            timeout_s + _REPORT_GRACE_S,
            lambda: self.finish_probe(
                ProbeFinished(monitored.key, sent_at, None, Reachability.silent)
            ),
        )
