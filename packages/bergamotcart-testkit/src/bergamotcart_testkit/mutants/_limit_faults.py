"""Deliberate faults of caps, of limits on clients and of the document."""

from typing import Final

from bergamotcart_testkit.mutants._fault import Fault, Replacement

_CHECKS: Final = 'bergamotcart/documents/tests/test_checks.py'
_CAP_RULES: Final = 'bergamotcart/workspaces/tests/test_caps.py'
_CAP_FUZZ: Final = 'bergamotcart/workspaces/tests/test_fuzz.py'
_MEMORY_BUDGET: Final = 'bergamotcart/resources/tests/test_memory_budget.py'
_CONNECTION_SLOTS: Final = 'bergamotcart/resources/tests/test_connection_slots.py'

LIMIT_FAULTS: Final = (
    Fault(
        'begin with a full bucket of credits',
        'bergamotcart/workspaces/_token_bucket.py',
        (Replacement('self._level = 0.0', 'self._level = cap.capacity'),),
        _CAP_RULES,
    ),
    Fault(
        'ignore the credits of a former leader',
        'bergamotcart/workspaces/_lender.py',
        (
            Replacement(
                'return elected_at + settings.validity_s * (1 + 2 * settings.drift_margin)',
                'return elected_at',
            ),
        ),
        _CAP_RULES,
    ),
    Fault(
        'lend the reserve twice',
        'bergamotcart/workspaces/_lender.py',
        (Replacement('has_reserve=self._has_reserve', 'has_reserve=True'),),
        _CAP_RULES,
    ),
    Fault(
        'accept credits of a former leader',
        'bergamotcart/workspaces/_holder.py',
        (Replacement('        if term < self._term:\n            return False\n', ''),),
        _CAP_RULES,
    ),
    Fault(
        'count the validity of credits from their arrival',
        'bergamotcart/workspaces/_holder.py',
        (Replacement('valid_until = sent_at + loans', 'valid_until = now + loans'),),
        _CAP_RULES,
    ),
    Fault(
        'lend standing credits beside the bucket',
        'bergamotcart/workspaces/_workspace_loans.py',
        (Replacement('            self._bucket.take_spare(extra)\n', ''),),
        _CAP_RULES,
    ),
    Fault(
        'lend again for a repeated report',
        'bergamotcart/workspaces/_lender.py',
        (
            Replacement(
                'is_repeated = report.number == account.newest_report', 'is_repeated = False'
            ),
        ),
        _CAP_RULES,
    ),
    Fault(
        'lend without a limit of outstanding credits',
        'bergamotcart/workspaces/_workspace_loans.py',
        (Replacement('room = max(0, limit - self._outstanding)', 'room = needed'),),
        _CAP_FUZZ,
    ),
    Fault(
        'add up repeated loans',
        'bergamotcart/workspaces/_holder.py',
        (Replacement('held.total = max(held.total, loan.total)', 'held.total += loan.total'),),
        _CAP_FUZZ,
    ),
    Fault(
        'spend expired credits',
        'bergamotcart/workspaces/_holder.py',
        (
            Replacement(
                "if self._valid_until == float('-inf') or now < self._valid_until:", 'if True:'
            ),
        ),
        _CAP_RULES,
    ),
    Fault(
        'admit a long message without room for it',
        'bergamotcart/resources/_memory_budget.py',
        (
            Replacement(
                'return is_reservable and self._total + size <= self._capacity', 'return True'
            ),
        ),
        _MEMORY_BUDGET,
    ),
    Fault(
        'close a connection of the caller that holds least',
        'bergamotcart/resources/_memory_budget.py',
        (Replacement('greatest = max(totals', 'greatest = min(totals'),),
        _MEMORY_BUDGET,
    ),
    Fault(
        'forget what a connection held when it is charged anew',
        'bergamotcart/resources/_memory_budget.py',
        (Replacement('self._total += size - holder.held', 'self._total += size'),),
        _MEMORY_BUDGET,
    ),
    Fault(
        'let a connection that is being served give way',
        'bergamotcart/resources/_connection_slots.py',
        (Replacement("self._identified[key] = ''", 'self._pending[key] = 0.0'),),
        _CONNECTION_SLOTS,
    ),
    Fault(
        'let a caller with more sessions displace one with fewer',
        'bergamotcart/resources/_connection_slots.py',
        (Replacement('if counts[greatest] > counts.get(share, 0) + 1:', 'if share in counts:'),),
        _CONNECTION_SLOTS,
    ),
    Fault(
        'check of a document: overlook sections that contradict each other',
        'bergamotcart/documents/_checks.py',
        (Replacement('            Document(bodies, revision=0)\n', '            pass\n'),),
        _CHECKS,
    ),
    Fault(
        'check of a document: show keys that change',
        'bergamotcart/documents/_comparison.py',
        (
            Replacement(
                'before != after and field not in _SECRET_FIELDS and', 'before != after and'
            ),
        ),
        _CHECKS,
    ),
    Fault(
        'check of a document: show tokens that change',
        'bergamotcart/documents/_comparison.py',
        (Replacement("'changes' if old.is_secret else", "'changes' if False else"),),
        _CHECKS,
    ),
    Fault(
        'check of a document: accept policies that never match',
        'bergamotcart/documents/_checks.py',
        (Replacement('        if reason:\n', '        if False:\n'),),
        _CHECKS,
    ),
)
