"""Operations of capped workspaces at an entry: what costs a credit, waits and refusals."""

import msgspec

from bergamotcart import documents, entry, messages
from bergamotcart.actions import Send
from bergamotcart.entry.tests.routed_entry_harness import (
    BEGIN,
    COMMIT,
    READ,
    WRITE,
    RoutedEntryHarness,
    make_routes,
)
from bergamotcart.outcomes import NotRun, Ran, Reason
from bergamotcart.workspaces import Cap, CapLender, CapSettings

_WORKSPACE = 'acme'
_KEY = 'key'


class CappedEntryHarness(RoutedEntryHarness):
    """An entry with a capped workspace and the lender of the leader."""

    def __init__(self, cap: Cap) -> None:
        """Start with the cap in force and a lender whose bucket is full."""
        self.cap_requests: list[messages.CapRequest] = []
        self.lender = CapLender(CapSettings(), 1, 0, has_reserve=True)
        self.lender.change_caps(0, {_WORKSPACE: cap})
        self.cap = cap
        super().__init__()

    def update(self, **changed: object) -> None:
        """Send the whole state with the section of workspaces."""
        self.index += 1
        body = documents.WorkspacesBody(
            workspaces=(
                documents.Workspace(
                    name=_WORKSPACE,
                    key_digests=(documents.digest_key(_KEY),),
                    rate_per_s=self.cap.rate_per_s,
                    burst=self.cap.burst,
                ),
            )
        )
        row = messages.SectionRow(
            name='workspaces',
            kind='workspaces',
            version=1,
            body=msgspec.json.encode(body).decode(),
        )
        self.row = msgspec.structs.replace(self.row, modified_index=self.index, **changed)
        self.receive(
            messages.StateUpdate(
                control_term=1,
                from_index=0,
                to_index=self.index,
                revision=self.index,
                entries_limit=1,
                groups=(self.row,),
                sections=(self.section, row),
            )
        )

    def open_capped_session(self, database: str = 'own') -> int:
        """Open a session of the workspace."""
        return self.open_session(database, _KEY)

    def answer_cap_requests(self) -> None:
        """Let the lender answer the requests for credits."""
        requests = tuple(self.cap_requests)
        self.cap_requests.clear()
        for request in requests:
            loans = self.lender.answer_report(self.now, 'e1/1', request.report)
            if loans is not None:
                self.receive(messages.CapGrant(control_term=1, loans=loans))

    def wait_for_credit(self) -> None:
        """Exchange messages for credits, also for a complete report if the leader needs one."""
        for _ in range(3):
            self.advance(0.01)
            self.answer_cap_requests()

    def refusal(self, request: int) -> NotRun:
        """Return the refusal of a request."""
        outcome = self.replies[request].outcome
        assert isinstance(outcome, NotRun)
        return outcome

    def _on_send(self, action: Send) -> None:
        super()._on_send(action)
        if isinstance(action.body, messages.CapRequest):
            self.cap_requests.append(action.body)


def _harness(rate: float = 10, burst: int = 5) -> CappedEntryHarness:
    return CappedEntryHarness(Cap(rate, burst))


def test_operation_waits_for_its_credit_and_runs_once() -> None:
    """Guards against statements that are sent without a credit, or never."""
    harness = _harness()
    session = harness.open_capped_session()
    request = harness.send_statement(session, READ)
    assert not harness.executions
    harness.wait_for_credit()
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[request].outcome, Ran)
    assert not harness.executions


def test_report_is_not_repeated_once_credits_have_come() -> None:
    """Each operation that waited for a credit cost a second report, half of the cap traffic."""
    harness = _harness()
    harness.send_statement(harness.open_capped_session(), READ)
    harness.wait_for_credit()
    harness.finish_execution(harness.next_execution())
    harness.advance(0.2)
    assert not harness.cap_requests


def test_whole_transaction_costs_one_credit() -> None:
    """Guards against later statements or COMMIT that cost a credit each."""
    harness = _harness(rate=0.001, burst=1)
    harness.lender.change_caps(0, {_WORKSPACE: Cap(0.001, 1)})
    harness.now += 2000
    harness.configure()
    session = harness.open_capped_session('strict')
    harness.send_statement(session, BEGIN)
    harness.send_statement(session, WRITE)
    harness.wait_for_credit()
    harness.finish_execution(harness.next_execution())
    for statement in (WRITE, COMMIT):
        request = harness.send_statement(session, statement)
        harness.finish_execution(harness.next_execution())
        assert isinstance(harness.replies[request].outcome, Ran)
    refused = harness.send_statement(session, READ)
    harness.wait_for_credit()
    assert harness.refusal(refused).reason is Reason.cap_reached


def test_operation_beyond_the_cap_is_refused_at_once() -> None:
    """Guards against operations that wait for credits that will not come in time."""
    harness = _harness(rate=0.1, burst=1)
    harness.send_statement(harness.open_capped_session(), READ)
    harness.wait_for_credit()
    session = harness.open_capped_session()
    second = harness.send_statement(session, READ)
    harness.wait_for_credit()
    third = harness.send_statement(session, READ)
    for request in (second, third):
        refusal = harness.refusal(request)
        assert refusal.reason is Reason.cap_reached
        assert refusal.retry_after > 1


def test_operation_is_refused_when_control_is_silent() -> None:
    """Guards against operations that wait for their whole deadline."""
    harness = _harness()
    request = harness.send_statement(harness.open_capped_session(), READ)
    harness.advance(0.45)
    assert request not in harness.replies
    harness.advance(0.1)
    assert harness.refusal(request).reason is Reason.cap_reached


def test_operations_wait_for_credits_as_long_as_the_most_urgent_ones() -> None:
    """Operations of patient routes took all credits of a reached cap, and urgent ones none."""
    harness = _harness()
    body = msgspec.json.decode(harness.section.body, type=documents.RoutesBody)
    routes = tuple(
        msgspec.structs.replace(route, target_latency_s=objective_s)
        for route, objective_s in zip(body.routes, (1.0, 0.25, 0.0), strict=False)
    )
    body = msgspec.structs.replace(body, routes=routes)
    harness.section = msgspec.structs.replace(
        harness.section, version=2, body=msgspec.json.encode(body).decode()
    )
    harness.configure()
    database = body.routes[0].database
    request = harness.send_statement(harness.open_capped_session(database), READ)
    harness.advance(0.2)
    assert harness.refusal(request).reason is Reason.cap_reached


def test_refused_operation_gives_its_credit_back() -> None:
    """Guards against credits that are lost with operations that were never sent."""
    harness = _harness()
    session = harness.open_capped_session('strict')
    harness.update(phase=messages.GroupPhase.frozen)
    request = harness.send_statement(session, WRITE)
    harness.wait_for_credit()
    harness.step(entry.SessionClosed(session))
    assert harness.refusal(request).reason is Reason.connection_lost
    assert harness.engine._context.credits.count_free(harness.now, _WORKSPACE) == 1  # noqa: SLF001


def test_session_without_workspace_is_not_capped() -> None:
    """Guards against caps on public routes."""
    harness = _harness(rate=0)
    harness.section = make_routes('own', public=('own',))
    harness.configure()
    request = harness.send_statement(harness.open_session('own'), READ)
    harness.finish_execution(harness.next_execution())
    assert isinstance(harness.replies[request].outcome, Ran)


def test_messages_are_unchanged_without_caps() -> None:
    """Guards against bytes that deployments without capped workspaces would send in vain."""
    harness = RoutedEntryHarness()
    assert b'caps' not in msgspec.msgpack.encode(harness.lease_requests[-1])
    assert b'caps' not in msgspec.msgpack.encode(harness.build_grant(harness.now))
