"""Stateful fuzz test of two engines, checked by the oracle of the invariants.

BERGAMOTCART_FUZZ_EXAMPLES sets the number of examples, and BERGAMOTCART_FUZZ_SEED their seed.
Without a seed the examples are fixed: hypothesis derives them from the source of ``EntryMachine``.
"""

import os
from dataclasses import dataclass

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    rule,
    run_state_machine_as_test,
)

from bergamotcart import entry
from bergamotcart.entry.tests.faults import MODES, Faults
from bergamotcart.entry.tests.oracle import Caller
from bergamotcart.outcomes import Ran

_EXAMPLES = int(os.environ.get('BERGAMOTCART_FUZZ_EXAMPLES', '40'))
_SEED = os.environ.get('BERGAMOTCART_FUZZ_SEED')
_ACTIONS = tuple(f'{"INSERT SELECT SELECT END " * 3}BEGIN BEGIN FAILOVER JUMP'.split())
_STATEMENT_SEQUENCES = ('SELECT INSERT SELECT', 'INSERT SELECT INSERT', 'BEGIN INSERT END SELECT')
_ANY_NUMBER = st.integers(min_value=0, max_value=1_000_000)

_FAULT_STEPS = (0, 0, 0, 1, 2, 3, 4, 5)
_EXECUTION_MODES = ('ok',) * 8 + MODES
_FAULTS = st.tuples(st.sampled_from(_EXECUTION_MODES), st.sampled_from(_FAULT_STEPS))


@dataclass
class Statement:
    """A statement of a burst.

    :param client_index: number that selects the client, modulo the number of clients.
    :param action: name of the action, which selects the statement or event.
    :param detail: number that selects a variant of the action.
    :param rounds: number of rounds to settle after the statement, or 0.
    :param fault: mode and step in which its execution ends, as for ``World.execute``.
    """

    client_index: int
    action: str
    detail: int
    rounds: int
    fault: tuple[str, int]


_STATEMENTS = st.builds(
    Statement,
    _ANY_NUMBER,
    st.sampled_from(_ACTIONS),
    _ANY_NUMBER,
    st.sampled_from((0, 4, 6, 6, 6, 6)),
    _FAULTS,
)


@dataclass
class Client:
    """A caller with a connection to an entry.

    :param name: name of the entry.
    :param pending: newest request.
    :param begin_request: request that began the newest transaction.
    """

    name: str
    session: int
    caller: Caller
    pending: int = 0
    in_transaction: bool = False
    begin_request: int = 0


class EntryMachine(Faults):
    """Callers that send statements, change entries and disconnect, under faults.

    :param write_count: number of writes so far, which makes their texts unique.
    """

    def __init__(self) -> None:
        """Create the machine with all parts connected and two callers."""
        super().__init__()
        self.clients = [self._connect_client('e1'), self._connect_client('e2')]
        self.write_count = 0

    @rule(
        burst=st.lists(_STATEMENTS, min_size=6, max_size=16),
        lagging=st.sampled_from(('', 'b', 'c', 'bc')),
    )
    def send_burst(self, burst: list[Statement], lagging: str) -> None:
        """Send statements of callers without pending requests, perhaps while replicas lag."""
        for statement in burst:
            client = self._idle_client(statement.client_index)
            if client is not None:
                self._send_action(client, statement.action, statement.detail)
            if statement.rounds:
                self.world.announce()
                self.world.settle(statement.rounds, lagging, statement.fault)

    @rule(
        client_index=_ANY_NUMBER,
        actions=st.sampled_from(_STATEMENT_SEQUENCES),
        detail=st.integers(0, 11),
        lagging=st.sampled_from(('', 'b', 'c', 'bc')),
        fault_at=st.integers(0, 3),
        fault=_FAULTS,
    )
    def send_sequence(
        self,
        client_index: int,
        actions: str,
        detail: int,
        lagging: str,
        fault_at: int,
        fault: tuple[str, int],
    ) -> None:
        """Send a sequence of related statements of a caller, one of them with a fault."""
        for number, action in enumerate(actions.split()):
            client = self._idle_client(client_index)
            if client is None:
                return
            self._send_action(client, action, detail)
            self.world.announce()
            self.world.settle(6, lagging, fault if number == fault_at else ('ok', 0))

    @rule()
    def end_faults(self) -> None:
        """End all current faults and let all parts proceed."""
        self.heal()
        self.world.announce()
        self.world.advance(0.3)
        self.world.settle(6)

    @rule(client_index=_ANY_NUMBER, with_token=st.booleans())
    def move_client(self, client_index: int, with_token: bool) -> None:
        """Move a caller to the other entry, with its session token or as a new session."""
        client = self._idle_client(client_index)
        if client is None or client.in_transaction:
            return
        token = self._request_token(client) if with_token else None
        self.world.step(client.name, entry.SessionClosed(client.session))
        new_client = self._connect_client('e1' if client.name == 'e2' else 'e2')
        self.clients[self.clients.index(client)] = new_client
        if token is not None:
            new_client.caller.must_see |= client.caller.must_see
            self._send(new_client, f"SELECT 1 /*session='{token}'*/")

    @rule(client_index=_ANY_NUMBER, skip=st.integers(0, 3))
    def drop_client(self, client_index: int, skip: int) -> None:
        """Disconnect a caller, even during a statement or transaction; mostly do nothing."""
        if skip:
            return
        client = self.clients[client_index % len(self.clients)]
        self.world.step(client.name, entry.SessionClosed(client.session))
        self.clients[client_index % len(self.clients)] = self._connect_client(client.name)

    @invariant()
    def check_target_logs(self) -> None:
        """Check that nothing ran twice, and that nothing ran that was answered as not run."""
        self.world.oracle.check_logs()

    def teardown(self) -> None:
        """End all faults, and check that each request gets its reply."""
        self.heal()
        world = self.world
        for _ in range(24):
            world.announce()
            world.settle(4)
            world.advance(0.5)
        world.settle()
        world.oracle.check_logs()
        assert not world.oracle.sent, 'I4: requests without a reply'
        super().teardown()

    def _send_action(self, client: Client, action: str, detail: int) -> None:
        getattr(self, f'_{action.lower()}')(client, detail)

    def _failover(self, client: Client, detail: int) -> None:
        self.fail_over('aabc'[detail % 4], detail % 3 == 0, 1.1)

    def _jump(self, client: Client, detail: int) -> None:
        self.advance((0.05, 0.3, 1.1)[detail % 3])

    def _end(self, client: Client, detail: int) -> None:
        self._send(client, 'ROLLBACK' if detail % 4 == 0 else 'COMMIT')

    def _begin(self, client: Client, detail: int) -> None:
        if not client.in_transaction:
            directive = f" /*request='t{detail % 4}'*/" if detail % 2 else ''
            self._send(client, f'BEGIN{directive}')
            client.begin_request = client.pending
            client.in_transaction = True

    def _select(self, client: Client, detail: int) -> None:
        if detail % 4 == 0:
            self._send(client, "SELECT 1 /*max_age='1s'*/", max_age_s=1.0)
        else:
            self._send(client, 'SELECT 1')

    def _connect_client(self, name: str) -> Client:
        caller = Caller(must_see=set(self.world.oracle.acked))
        return Client(name, self.world.open_session(name), caller)

    def _idle_client(self, client_index: int) -> Client | None:
        client = self.clients[client_index % len(self.clients)]
        if client.pending in self.world.oracle.sent:
            return None
        begin_outcome = self.world.outcome(client.begin_request)
        if not isinstance(begin_outcome, Ran) or begin_outcome.result is None:
            client.in_transaction = False
        return client

    def _send(self, client: Client, sql: str, **fields: object) -> None:
        in_transaction = client.in_transaction
        client.pending = self.world.request(
            client.name, client.session, client.caller, sql, in_transaction=in_transaction, **fields
        )
        if sql in {'COMMIT', 'ROLLBACK'}:
            client.in_transaction = False

    def _insert(self, client: Client, detail: int) -> None:
        if detail % 3 == 0 and not client.in_transaction:
            number = detail % 5
            self._send(client, f"INSERT id{number} /*request='r{number}'*/", ledger=f'r{number}')
            return
        self.write_count += 1
        self._send(client, f'INSERT w{self.write_count}')

    def _request_token(self, client: Client) -> str | None:
        self._send(client, 'SHOW BERGAMOTCART SESSION')
        self.world.settle(4)
        outcome = self.world.outcome(client.pending)
        return outcome.result.rows[0][0] if isinstance(outcome, Ran) else None


def test_invariants_hold_under_faults():
    """The invariants I1 to I6 of the oracle hold under faults in any order."""
    machine_class = EntryMachine if _SEED is None else seed(int(_SEED))(EntryMachine)
    run_state_machine_as_test(
        machine_class,
        settings=settings(
            max_examples=_EXAMPLES,
            stateful_step_count=80,
            deadline=None,
            database=None,
            derandomize=_SEED is None,
            suppress_health_check=list(HealthCheck),
        ),
    )
