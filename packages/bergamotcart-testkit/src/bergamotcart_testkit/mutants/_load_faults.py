"""Deliberate faults of admission and of the choice of an instance."""

from typing import Final

from bergamotcart_testkit.mutants._fault import NEVER, Fault, Replacement

_ENTRY_FUZZ: Final = 'bergamotcart/entry/tests/test_fuzz.py'
_FAIR_QUEUE: Final = 'bergamotcart/admission/tests/test_fair_queue.py'
_SPILLOVER: Final = 'bergamotcart/routing/tests/test_zone_spillover.py'
_INSTANCE_WEIGHTS: Final = 'bergamotcart/routing/tests/test_instance_weights.py'
_ZONE_READS: Final = 'bergamotcart/entry/tests/test_zone_reads.py'

LOAD_FAULTS: Final = (
    Fault(
        'forget the session floor in replica choice',
        'bergamotcart/routing/_read_routing.py',
        (
            Replacement(
                'return satisfies_floor(candidate.position, requirements.floor, branch_points)',
                'return satisfies_floor(candidate.position, None, branch_points)',
            ),
        ),
        _ENTRY_FUZZ,
    ),
    Fault(
        'serve requests of a low priority first',
        'bergamotcart/admission/_fair_queue.py',
        (
            Replacement(
                'order = sorted(self._levels)', 'order = sorted(self._levels, reverse=True)'
            ),
        ),
        _FAIR_QUEUE,
    ),
    Fault(
        'let overdue requests of a low priority starve',
        'bergamotcart/admission/_fair_queue.py',
        (Replacement('if self._turns >= _TURNS_PER_OVERDUE:', NEVER),),
        _FAIR_QUEUE,
    ),
    Fault(
        'let all refused callers come back at the same time',
        'bergamotcart/admission/_queue_pace.py',
        (
            Replacement(
                'max(drained_at, self._last_return_at + self._interval_s * _RETURN_SPACING)',
                'drained_at',
            ),
        ),
        'bergamotcart/admission/tests/test_queue_pace.py',
    ),
    Fault(
        'end an overload at the first request in time',
        'bergamotcart/admission/_queue_pace.py',
        (
            Replacement(
                'if now >= self.last_at + max(objective_s, interval_s * _QUIET_INTERVALS):',
                'if wait_s <= objective_s:',
            ),
        ),
        'bergamotcart/entry/tests/test_crowds.py',
    ),
    Fault(
        'let requests wait for their whole objective during an overload',
        'bergamotcart/admission/_queue_pace.py',
        (Replacement('_STANDING_SHARE: Final = 0.5', '_STANDING_SHARE: Final = 1.0'),),
        'bergamotcart/entry/tests/test_crowds.py',
    ),
    Fault(
        'eject the last serving instance',
        'bergamotcart/routing/_instance_weights.py',
        (
            Replacement(
                'if not any(self.weight(other) > 0 for other in serving if other != key):', NEVER
            ),
        ),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'eject all instances but one',
        'bergamotcart/routing/_instance_weights.py',
        (
            Replacement(
                'max(1, int(len(serving) * self._settings.max_ejected_share))', 'len(serving)'
            ),
        ),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'take an instance back at once',
        'bergamotcart/routing/_instance_weights.py',
        (Replacement('record.raise_weight(min(target, raised))', 'record.raise_weight(target)'),),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'eject failing instances although all fail',
        'bergamotcart/routing/_instance_weights.py',
        (Replacement('others or [0.0]) * settings.failing_ratio', 'others or [0.0])'),),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'let all entries connect at the same time',
        'bergamotcart/admission/_reconnecting.py',
        (Replacement('interval_s * rng.uniform(1 - _SPREAD, 1 + _SPREAD)', 'interval_s'),),
        'bergamotcart/admission/tests/test_reconnecting.py',
    ),
    Fault(
        'zone share: let a zone that receives reads send some',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'destination not in self._shares and not receives',
                'destination not in self._shares',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: let a zone send to one that sends',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'zone != destination and destination not in self._shares and',
                'zone != destination and',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: ignore the price',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('if saving_s >= price_s:', 'if saving_s >= 0:'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: send without a price',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('return self._set_share(zone, 0, ShareReason.no_price)', 'price_s = 0.0'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: leave out the latency of the path',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('measures[destination].wait_s - path_s', 'measures[destination].wait_s'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: use figures of any age',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('if now - measure.measured_at <= self._settings.max_age_s', 'if True'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: keep a share although the zone cannot be reached',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'return self._set_share(zone, 0, ShareReason.unreachable)',
                'return self._set_share(zone, current.share, ShareReason.unreachable)',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: move a share without steps',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'change = max(-settings.step, min(settings.step, target - current.share))',
                'change = target - current.share',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: flood a small zone',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'limited = min(change, self._growth[destination] / demand_per_s)',
                'limited = change',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: start after one decision',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('self._streaks[saving.path] >= self._settings.confirmations', 'True'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: never return while the other zone is fast',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('if is_slower or now >= due_at:', 'if is_slower:'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: adopt a share that contradicts another',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'is_free = zone not in self._shares and self._may_send(zone, share.destination)',
                'is_free = zone not in self._shares',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: choose a zone by load as well',
        'bergamotcart/routing/_read_routing.py',
        (
            Replacement(
                'candidate.zone != preferred_zone or candidate.is_primary or candidate.has_failed',
                'candidate.has_failed',
            ),
        ),
        _ZONE_READS,
    ),
    Fault(
        'zone share: prefer a zone whose instance has failed the read',
        'bergamotcart/routing/_read_routing.py',
        (Replacement('candidate.is_primary or candidate.has_failed', 'candidate.is_primary'),),
        _ZONE_READS,
    ),
)
