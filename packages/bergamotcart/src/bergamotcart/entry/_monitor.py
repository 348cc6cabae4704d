"""Probes of targets: reachability, positions, and proofs from the primary."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from bergamotcart.discovery import KnownTarget, Position, PositionReport, TargetKey
from bergamotcart.entry._actions import Probe
from bergamotcart.entry._inputs import ProbeFinished
from bergamotcart.entry._timers import Timer
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import Reachability, TargetReport

PROBE_INTERVAL_S: Final = 0.25
# At nine idle targets, four probes a second each were most of an idle entry's processor time.
IDLE_PROBE_INTERVAL_S: Final = 1.0
IDLE_AFTER_S: Final = 10.0
# A primary whose answers carry positions is probed only if it has not answered for this long.
# Control asks it four times a second, and tells the entries to look when it gets no answer.
ANSWERED_PROBE_S: Final = 5.0
# Without control, nobody else looks.
UNLEASED_PROBE_S: Final = 0.5
# A primary that seems lost is looked at by all entries; together they must not fill its slots.
SUSPECT_PROBE_S: Final = 0.5
# Entries that may probe an instance at the usual pace; more of them share that load.
_PROBING_ENTRIES: Final = 16
# A replica that answers a waiting probe without progress is not asked in a tight loop.
_REPEAT_S: Final = 0.005
# The adapter reports every probe; this covers a report that is lost all the same.
_LOST_PROBE_S: Final = 0.5
_INITIAL_CATCH_UP_S: Final = 0.01
_CATCH_UP_WEIGHT: Final = 0.2


@dataclass(slots=True)
class Watched:
    """What probes have shown of one target.

    :param report: newest answer of the current incarnation.
    :param report_sent_at: time at which the probe of that answer was sent, in seconds.
    :param since: time from which the reachability holds, in seconds.
    :param ended_sent_at: time at which the last probe that ended was sent, in seconds.
    :param needed_after: an answer to a probe sent after this time is waited for.
    :param catch_up_s: smoothed time that the instance needs to reach a position waited for.
    :param answered_at: time of its last answer of any kind, in seconds.
    :param position: newest position that an answer to a statement carried.
    """

    key: TargetKey
    incarnation: str
    report: PositionReport | None = None
    report_sent_at: float = float('-inf')
    reachability: Reachability | None = None
    since: float = 0.0
    in_flight: bool = False
    last_sent: float = float('-inf')
    ended_sent_at: float = float('-inf')
    waited_for: Position | None = None
    needed_after: float = float('-inf')
    catch_up_s: float = _INITIAL_CATCH_UP_S
    timer: Timer | None = None
    answered_at: float = float('-inf')
    position: Position | None = None


class TargetMonitor:
    """Probes each known target a few times a second, and at once when that is needed.

    :param on_report: called with each accepted answer.
    :param on_answer: called with the position that an answer to a statement carried.
    :param on_change: called when the reachability of a target changes.
    :param wanted: returns the position that requests of a target's group wait for.
    """

    __slots__ = (
        '_on_answer',
        '_on_change',
        '_on_report',
        '_used_at',
        '_wanted',
        '_watched',
        '_work',
        'reports_version',
    )

    def __init__(
        self,
        work: Workspace,
        on_report: Callable[[Watched, float], None],
        on_answer: Callable[[Watched, float, Position], None],
        on_change: Callable[[Watched], None],
        wanted: Callable[[TargetKey], Position | None],
    ) -> None:
        """Start without targets."""
        self._work = work
        self._on_report = on_report
        self._on_answer = on_answer
        self._on_change = on_change
        self._wanted = wanted
        self._watched: dict[TargetKey, Watched] = {}
        self._used_at: dict[str, float] = {}
        self.reports_version = 1

    def __iter__(self) -> Iterator[Watched]:
        """Iterate over all watched targets."""
        return iter(self._watched.values())

    def get(self, key: TargetKey) -> Watched | None:
        """Return what is known of a target."""
        return self._watched.get(key)

    def is_reachable(self, key: TargetKey) -> bool:
        """Tell whether the last probe or statement was answered.

        Where answers carry positions, a target that was never asked counts too: its
        announcements are fresh, and the first statement shows whether it answers.
        """
        watched = self._watched.get(key)
        if watched is None:
            return False
        if watched.reachability is None:
            return self._work.view.answers_carry_positions(key.group)
        return watched.reachability is Reachability.reachable

    def reports(self) -> tuple[TargetReport, ...]:
        """Return what control is told about the targets."""
        return tuple(
            TargetReport(
                group=watched.key.group,
                instance=watched.key.instance,
                reachability=watched.reachability,
                for_s=self._work.now - watched.since,
            )
            for watched in self._watched.values()
            if watched.reachability is not None
        )

    def watch(self, target: KnownTarget) -> None:
        """Begin to probe a target, or note its new incarnation."""
        watched = self._watched.get(target.key)
        if watched is None:
            watched = Watched(target.key, target.announcement.incarnation)
            self._watched[target.key] = watched
            if not self._work.view.answers_carry_positions(target.key.group):
                self._send(watched)
            return
        if watched.incarnation != target.announcement.incarnation:
            watched.incarnation = target.announcement.incarnation
            watched.report = None
            watched.position = None
            self.probe_soon(target.key)

    def forget(self, key: TargetKey) -> None:
        """Stop probing a target."""
        watched = self._watched.pop(key, None)
        self.reports_version += 1
        if watched is not None and watched.timer is not None:
            watched.timer.cancel()

    def note_use(self, group: str) -> None:
        """Probe the targets of a group often while requests come for it."""
        was_idle = self._is_idle(group)
        self._used_at[group] = self._work.now
        if was_idle and not self._work.view.answers_carry_positions(group):
            for target in self._work.table.of_group(group):
                self.probe_soon(target.key)

    def need_report_after(self, key: TargetKey, when: float) -> None:
        """Ask for an answer to a probe that is sent after a time."""
        watched = self._watched.get(key)
        if watched is None:
            return
        watched.needed_after = max(watched.needed_after, when)
        if not watched.in_flight:
            self._send(watched)

    def probe_soon(self, key: TargetKey) -> None:
        """Probe a target at once unless a probe is under way."""
        watched = self._watched.get(key)
        if watched is not None and not watched.in_flight:
            self._send(watched)

    def check(self, key: TargetKey) -> None:
        """Probe a target that others cannot reach, unless it has answered lately."""
        watched = self._watched.get(key)
        if watched is None or watched.in_flight:
            return
        last = max(watched.answered_at, watched.last_sent)
        if self._work.now - last >= SUSPECT_PROBE_S * self._crowding:
            self._send(watched)

    def note_answer(self, key: TargetKey, sent_at: float, position: Position) -> None:
        """Take over the position that an answer to a statement carried.

        :param sent_at: time at which the statement was sent, in seconds.
        """
        watched = self._watched.get(key)
        if watched is None:
            return
        watched.answered_at = self._work.now
        if watched.position is None or position > watched.position:
            watched.position = position
        self._set_reachability(watched, Reachability.reachable)
        self._on_answer(watched, sent_at, position)

    def note_refused(self, key: TargetKey) -> None:
        """Take over that a connection to a target was refused."""
        watched = self._watched.get(key)
        if watched is not None:
            self._set_reachability(watched, Reachability.refusing)
            self.probe_soon(key)

    def finish(self, finished: ProbeFinished) -> None:
        """Take the end of a probe; a late or repeated one changes nothing."""
        watched = self._watched.get(finished.target)
        if watched is None or finished.sent_at < watched.last_sent:
            return
        was_in_flight = watched.in_flight
        is_repeated = not was_in_flight and finished.sent_at <= watched.ended_sent_at
        watched.in_flight = False
        watched.ended_sent_at = max(watched.ended_sent_at, finished.sent_at)
        if is_repeated:
            return
        if finished.report is None:
            # The adapter also reports without being asked when its connection breaks.
            self._set_reachability(watched, finished.failure or Reachability.silent)
        elif finished.sent_at > watched.report_sent_at:
            self._accept(watched, finished.report, finished.sent_at)
        self._schedule(watched)

    def _accept(self, watched: Watched, report: PositionReport, sent_at: float) -> None:
        progressed = watched.report is None or report.position > watched.report.position
        watched.report = report
        watched.report_sent_at = sent_at
        watched.answered_at = self._work.now
        self._update_catch_up(watched, report)
        self._set_reachability(watched, Reachability.reachable)
        self._on_report(watched, sent_at)
        may_repeat = progressed or watched.waited_for is None
        if may_repeat and not watched.in_flight and self._wanted(watched.key) is not None:
            self._send(watched)

    def _update_catch_up(self, watched: Watched, report: PositionReport) -> None:
        if watched.waited_for is None:
            return
        elapsed = self._work.now - watched.last_sent
        if report.position < watched.waited_for:
            elapsed = max(2 * elapsed, watched.catch_up_s)
        watched.catch_up_s += _CATCH_UP_WEIGHT * (elapsed - watched.catch_up_s)

    def _set_reachability(self, watched: Watched, reachability: Reachability) -> None:
        if watched.reachability is reachability:
            return
        watched.reachability = reachability
        self.reports_version += 1
        watched.since = self._work.now
        self._on_change(watched)

    def _schedule(self, watched: Watched) -> None:
        if watched.in_flight or self._watched.get(watched.key) is not watched:
            return
        is_answered = watched.reachability is Reachability.reachable
        if is_answered and watched.needed_after >= watched.report_sent_at:
            self._send(watched)
            return
        is_wanted = is_answered and self._wanted(watched.key) is not None
        delay = _REPEAT_S if is_wanted else self._interval(watched)
        if watched.timer is not None:
            watched.timer.cancel()
        watched.timer = self._work.after(delay, lambda: self._probe_if_due(watched))

    def _probe_if_due(self, watched: Watched) -> None:
        """Probe a target unless its answers to statements make that superfluous."""
        is_answered = watched.reachability is Reachability.reachable
        if not (is_answered and self._work.view.answers_carry_positions(watched.key.group)):
            self._send(watched)
            return
        pause = ANSWERED_PROBE_S if self._work.lease_valid else UNLEASED_PROBE_S
        pause *= self._crowding
        due = watched.answered_at + pause
        is_primary = self._work.view.is_primary(watched.key) or not self._work.lease_valid
        if is_primary and due <= self._work.now:
            self._send(watched)
            return
        delay = max(due - self._work.now, UNLEASED_PROBE_S / 2)
        watched.timer = self._work.after(delay, lambda: self._probe_if_due(watched))

    def _interval(self, watched: Watched) -> float:
        # A target that does not answer is probed often, so that its return is noticed.
        is_answered = watched.reachability is Reachability.reachable
        if is_answered and self._is_idle(watched.key.group):
            return IDLE_PROBE_INTERVAL_S
        if not self._work.view.answers_carry_positions(watched.key.group):
            return PROBE_INTERVAL_S
        # Entries that lost a target at the same moment must not all come back at the same one.
        spread = 1 + self._work.random.random()
        return PROBE_INTERVAL_S * self._crowding * spread

    @property
    def _crowding(self) -> float:
        """Factor by which probes become rarer, since other entries send them as well."""
        return max(1.0, len(self._work.view.entries) / _PROBING_ENTRIES)

    def _is_idle(self, group: str) -> bool:
        used_at = self._used_at.get(group, float('-inf'))
        return self._work.now - used_at > IDLE_AFTER_S

    def _send(self, watched: Watched) -> None:
        target = self._work.table.get(watched.key)
        if watched.in_flight or target is None:
            return
        if watched.timer is not None:
            watched.timer.cancel()
        watched.in_flight = True
        watched.last_sent = self._work.now
        watched.waited_for = self._wanted(watched.key)
        timeout = self._work.config.silence_timeout_s
        self._work.actions.append(
            Probe(
                target=watched.key,
                address=target.announcement.address,
                wait_for=watched.waited_for,
                timeout_s=timeout,
            )
        )
        sent_at = watched.last_sent
        watched.timer = self._work.after(
            timeout + _LOST_PROBE_S,
            lambda: self.finish(ProbeFinished(watched.key, sent_at, None, Reachability.silent)),
        )
