"""Caps at the leader of control: its answers, what it records, and what operators see."""

import msgspec

from bergamotcart import control, documents, messages
from bergamotcart.actions import MessageReceived
from bergamotcart.control.tests._authority_world import AuthorityWorld

_BODY = documents.WorkspacesBody(
    workspaces=(
        documents.Workspace(name='acme', rate_per_s=100.0, burst=50),
        documents.Workspace(name='free'),
    )
)


def _start_world() -> AuthorityWorld:
    world = AuthorityWorld()
    change = {
        'section': 'workspaces',
        'kind': 'workspaces',
        'base_version': 0,
        'change_id': 'w1',
        'body': msgspec.json.encode(_BODY).decode(),
    }
    world.submit(_operator_request(control.OperatorCommand.change, change))
    assert world.replies[900].status == 200
    return world


def _operator_request(
    command: control.OperatorCommand, body: dict[str, object]
) -> control.OperatorRequest:
    return control.OperatorRequest(request_id=900, command=command, token='admin', body=body)


def _ask(world: AuthorityWorld, report: messages.CapReport) -> messages.CapGrant:
    """Send a request for credits as the entry of the world does, and return the answer."""
    envelope = messages.Envelope(
        version=messages.FORMAT_VERSION,
        domain='default',
        sender='entry-1',
        incarnation='start',
        sender_address='e:1',
        recipient='control-1',
        body=messages.CapRequest(report=report),
    )
    world.submit(MessageReceived(envelope))
    return [send.body for send in world.sent if isinstance(send.body, messages.CapGrant)][-1]


def _report(number: int, term: int, spent: int = 0, total: int = 0) -> messages.CapReport:
    use = messages.CapUse('acme', spent, 0, total, waiting=2)
    return messages.CapReport(1, number, 0, term, is_complete=True, uses=(use,))


def test_leader_lends_and_shows_the_caps() -> None:
    """Guards against requests without an answer, and against use that operators do not see."""
    world = _start_world()
    term = _ask(world, _report(1, 0)).control_term
    world.run(1)
    grant = _ask(world, _report(2, term))
    assert [(loan.workspace, loan.total) for loan in grant.loans.loans] == [('acme', 2)]
    _ask(world, _report(3, term, spent=2, total=2))
    world.submit(_operator_request(control.OperatorCommand.caps, {}))
    rows = world.replies[900].body['workspaces']
    assert [row['name'] for row in rows] == ['acme']
    assert rows[0]['used_in_window'] == 2
    assert rows[0]['lent'] == 2
    assert rows[0]['holders'] == {'entry-1/start': 2}


def test_new_leader_knows_whether_its_predecessor_was_settled() -> None:
    """Guards against a reserve that two leaders in a row use."""
    lent = []
    for settled_s in (0, 4):
        world = _start_world()
        _ask(world, _report(1, 0))
        world.run(settled_s)
        world.restart_control()
        world.run(0.2)
        term = _ask(world, _report(2, 0)).control_term
        world.run(0.5)
        loans = _ask(world, _report(3, term)).loans.loans
        lent.append(sum(loan.total for loan in loans))
        settles = [each for each in world.decisions if each.action == 'settle']
        assert len(settles) == bool(settled_s)
    assert lent == [0, 2]
