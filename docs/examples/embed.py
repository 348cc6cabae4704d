"""Embeds a control engine: it elects itself, then accepts an operator document.

The engine does no I/O. The program around it keeps the time, syncs what the engine
asks to persist, and answers operators.
"""

from bergamotcart import control

ADMIN_TOKEN = 'secret-of-the-administrator'
DOCUMENT = 'groups: {tickets: {instances: 3}}'


def make_engine() -> control.ControlEngine:
    """Return the only member of a control domain, with an empty data folder."""
    configuration = control.ControlConfiguration(
        name='control-1',
        availability_zone='kigali',
        address='127.0.0.1:7001',
        initial_members=(('control-1', '127.0.0.1:7001', 'kigali'),),
        admin_token=ADMIN_TOKEN,
    )
    hard_state = control.HardState(incarnation='first')
    return control.ControlEngine(
        configuration, control.DurableState(hard_state=hard_state, snapshot=None, records=())
    )


def step(engine: control.ControlEngine, now: float, *pending_inputs: control.ControlInput) -> None:
    """Run a step and carry out its actions, which may be inputs of another step."""
    for action in engine.step(now, pending_inputs).actions:
        if isinstance(action, control.WriteBatch):
            # A real program writes and syncs the batch before it says so.
            step(engine, now, control.BatchPersisted(action.batch_id))
        elif isinstance(action, control.OperatorReply):
            print(action.status, action.body['outcome'], 'revision', action.body['revision'])


def main() -> None:
    """Elect a leader, then change the document."""
    engine, now = make_engine(), 0.0
    while not engine.status(now).leads:
        now += 0.1
        step(engine, now)
    body = {
        'section': 'databases',
        'kind': 'groups',
        'base_version': 0,
        'change_id': 'first-change',
        'body': DOCUMENT,
    }
    command = control.OperatorCommand.change
    request = control.OperatorRequest(request_id=1, command=command, token=ADMIN_TOKEN, body=body)
    step(engine, now, request)


if __name__ == '__main__':
    main()
