"""Launches deployments on the loopback interface."""

from bergamotcart_testkit.deployment._clients import (
    HttpClient,
    RelayClient,
    Reply,
    TargetClient,
    TargetStatus,
)
from bergamotcart_testkit.deployment._deployment import Deployment
from bergamotcart_testkit.deployment._layout import LAYOUTS, Layout
from bergamotcart_testkit.deployment._operator_requests import (
    all_entries_report_revision,
    control_document,
    control_leader,
    control_status,
    remove_faults,
)
from bergamotcart_testkit.deployment._plan import ADMIN_TOKEN, ControlPlan, EntryPlan, TargetPlan
from bergamotcart_testkit.deployment._process import ManagedProcess
from bergamotcart_testkit.deployment._waiting import HANG_TIMEOUT_S, ConditionError, wait_until

__all__ = (
    'ADMIN_TOKEN',
    'HANG_TIMEOUT_S',
    'LAYOUTS',
    'ConditionError',
    'ControlPlan',
    'Deployment',
    'EntryPlan',
    'HttpClient',
    'Layout',
    'ManagedProcess',
    'RelayClient',
    'Reply',
    'TargetClient',
    'TargetPlan',
    'TargetStatus',
    'control_document',
    'control_leader',
    'control_status',
    'all_entries_report_revision',
    'remove_faults',
    'wait_until',
)
