"""Lends entries the credits of capped workspaces."""

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._commands import SettleCaps
from bergamotcart.control._configuration import ControlConfiguration
from bergamotcart.control._entry_table import EntryKey
from bergamotcart.control._step_context import StepContext
from bergamotcart.workspaces import (
    Cap,
    CapLender,
    CapSettings,
    find_credit_wait_s,
    find_former_loans_end,
)


def find_cap_lender(context: StepContext) -> CapLender | None:
    """Return the lender with the caps in force, or ``None`` if no workspace ever had a cap."""
    local = context.local
    if local.cap_lender is not None and local.caps_revision == context.state.revision:
        return local.cap_lender
    caps = {
        workspace.name: Cap(workspace.rate_per_s, workspace.burst)
        for workspace in context.document.workspaces
        if workspace.rate_per_s is not None
    }
    if local.cap_lender is None:
        if not caps:
            return None
        local.cap_lender = _make_lender(context)
    local.caps_revision = context.state.revision
    max_wait_s = find_credit_wait_s(context.document.shortest_objective_s)
    local.cap_lender.change_caps(context.now, caps, max_wait_s)
    return local.cap_lender


def answer_cap_report(
    context: StepContext, key: EntryKey, report: messages.CapReport | msgspec.UnsetType
) -> messages.CapLoans | None:
    """Return the answer to the report of an entry, or ``None`` if there is none."""
    if report is msgspec.UNSET:
        return None
    lender = find_cap_lender(context)
    if lender is None:
        return None
    return lender.answer_report(context.now, f'{key.name}/{key.incarnation}', report)


def record_settled_caps(context: StepContext) -> None:
    """Record once that no credits of former leaders are in use any more."""
    lender = find_cap_lender(context)
    term = context.leadership.term
    if lender is None or context.state.caps_settled_term == term:
        return
    if lender.is_settled(context.now) and context.local.proposals.submit(
        'settle caps', SettleCaps(term=term), context.now
    ):
        context.publish_decision(
            Decision(system='caps', action='settle', reason='former_credits_expired', term=term)
        )


def _make_lender(context: StepContext) -> CapLender:
    settings = _make_settings(context.configuration)
    former_term = context.local.former_term
    return CapLender(
        settings,
        context.leadership.term,
        find_former_loans_end(context.local.leader_since, settings),
        # A leader that was replaced before it could record this may have used the reserve.
        has_reserve=former_term in {0, context.state.caps_settled_term},
    )


def _make_settings(configuration: ControlConfiguration) -> CapSettings:
    return CapSettings(
        window_s=configuration.cap_window_s,
        overage=configuration.cap_overage,
        slack=configuration.cap_slack,
        drift_margin=configuration.drift_margin,
    )
