"""Stateful fuzzing of two engines against the oracle of the invariants.

BERGAMOTCART_FUZZ_EXAMPLES sets the number of examples, and BERGAMOTCART_FUZZ_SEED their seed.
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
_TALKS = ('SELECT INSERT SELECT', 'INSERT SELECT INSERT', 'BEGIN INSERT END SELECT')
_ANY = st.integers(min_value=0, max_value=1_000_000)

_STEPS = (0, 0, 0, 1, 2, 3, 4, 5)
_ENDS = ('ok',) * 8 + MODES
_FAULTS = st.tuples(st.sampled_from(_ENDS), st.sampled_from(_STEPS))


@dataclass
class Statement:
    """One statement of a burst.

    :param rounds: rounds without other faults after it, or 0.
    :param fault: how its execution ends.
    """

    which: int
    action: str
    detail: int
    rounds: int
    fault: tuple[str, int]


_STATEMENTS = st.builds(
    Statement,
    _ANY,
    st.sampled_from(_ACTIONS),
    _ANY,
    st.sampled_from((0, 4, 6, 6, 6, 6)),
    _FAULTS,
)


@dataclass
class Client:
    """A caller with one connection to one entry."""

    name: str
    session: int
    caller: Caller
    pending: int = 0
    in_transaction: bool = False
    begun_by: int = 0


class EntryMachine(Faults):
    """Callers that send statements, move and vanish, under faults."""

    def __init__(self) -> None:
        """Start with everything connected and two callers."""
        super().__init__()
        self.clients = [self._connect('e1'), self._connect('e2')]
        self.texts = 0

    @rule(
        burst=st.lists(_STATEMENTS, min_size=6, max_size=16),
        lagging=st.sampled_from(('', 'b', 'c', 'bc')),
    )
    def ask(self, burst: list[Statement], lagging: str) -> None:
        """Send statements of callers that wait for none, perhaps while a replica lags."""
        for statement in burst:
            client = self._idle(statement.which)
            if client is not None:
                self._ask(client, statement.action, statement.detail)
            if statement.rounds:
                self.world.announce()
                self.world.settle(statement.rounds, lagging, statement.fault)

    @rule(
        which=_ANY,
        actions=st.sampled_from(_TALKS),
        detail=st.integers(0, 11),
        lagging=st.sampled_from(('', 'b', 'c', 'bc')),
        faulty=st.integers(0, 3),
        fault=_FAULTS,
    )
    def talk(
        self,
        which: int,
        actions: str,
        detail: int,
        lagging: str,
        faulty: int,
        fault: tuple[str, int],
    ) -> None:
        """Send statements of one caller that belong together, one of them with a fault."""
        for number, action in enumerate(actions.split()):
            client = self._idle(which)
            if client is None:
                return
            self._ask(client, action, detail)
            self.world.announce()
            self.world.settle(6, lagging, fault if number == faulty else ('ok', 0))

    @rule()
    def calm_down(self) -> None:
        """End all faults for a moment."""
        self.heal()
        self.world.announce()
        self.world.advance(0.3)
        self.world.settle(6)

    @rule(which=_ANY, back=st.booleans())
    def move(self, which: int, back: bool) -> None:
        """Move a caller to the other entry, with its token or as a new session."""
        client = self._idle(which)
        if client is None or client.in_transaction:
            return
        token = self._token(client) if back else None
        self.world.step(client.name, entry.SessionClosed(client.session))
        fresh = self._connect('e1' if client.name == 'e2' else 'e2')
        self.clients[self.clients.index(client)] = fresh
        if token is not None:
            fresh.caller.must_see |= client.caller.must_see
            self._send(fresh, f"SELECT 1 /*session='{token}'*/")

    @rule(which=_ANY, really=st.integers(0, 3))
    def drop(self, which: int, really: int) -> None:
        """Lose a caller, also in the middle of a statement or a transaction."""
        if really:
            return
        client = self.clients[which % len(self.clients)]
        self.world.step(client.name, entry.SessionClosed(client.session))
        self.clients[which % len(self.clients)] = self._connect(client.name)

    @invariant()
    def logs_are_right(self) -> None:
        """Nothing ran twice, and nothing ran that was answered as not run."""
        self.world.oracle.check_logs()

    def teardown(self) -> None:
        """Heal everything; each request must get its one reply."""
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

    def _ask(self, client: Client, action: str, detail: int) -> None:
        getattr(self, f'_{action.lower()}')(client, detail)

    def _failover(self, client: Client, detail: int) -> None:
        self.fail_over('aabc'[detail % 4], detail % 3 == 0, 1.1)

    def _jump(self, client: Client, detail: int) -> None:
        self.advance((0.05, 0.3, 1.1)[detail % 3])

    def _end(self, client: Client, detail: int) -> None:
        self._send(client, 'ROLLBACK' if detail % 4 == 0 else 'COMMIT')

    def _begin(self, client: Client, detail: int) -> None:
        if not client.in_transaction:
            mark = f" /*request='t{detail % 4}'*/" if detail % 2 else ''
            self._send(client, f'BEGIN{mark}')
            client.begun_by = client.pending
            client.in_transaction = True

    def _select(self, client: Client, detail: int) -> None:
        if detail % 4 == 0:
            self._send(client, "SELECT 1 /*max_age='1s'*/", max_age_s=1.0)
        else:
            self._send(client, 'SELECT 1')

    def _connect(self, name: str) -> Client:
        caller = Caller(must_see=set(self.world.oracle.acked))
        return Client(name, self.world.open_session(name), caller)

    def _idle(self, which: int) -> Client | None:
        client = self.clients[which % len(self.clients)]
        if client.pending in self.world.oracle.sent:
            return None
        begun = self.world.outcome(client.begun_by)
        if not isinstance(begun, Ran) or begun.result is None:
            client.in_transaction = False
        return client

    def _send(self, client: Client, sql: str, **sent: object) -> None:
        inside = client.in_transaction
        client.pending = self.world.request(
            client.name, client.session, client.caller, sql, in_transaction=inside, **sent
        )
        if sql in {'COMMIT', 'ROLLBACK'}:
            client.in_transaction = False

    def _insert(self, client: Client, detail: int) -> None:
        if detail % 3 == 0 and not client.in_transaction:
            number = detail % 5
            self._send(client, f"INSERT id{number} /*request='r{number}'*/", ledger=f'r{number}')
            return
        self.texts += 1
        self._send(client, f'INSERT w{self.texts}')

    def _token(self, client: Client) -> str | None:
        self._send(client, 'SHOW BERGAMOTCART SESSION')
        self.world.settle(4)
        outcome = self.world.outcome(client.pending)
        return outcome.result.rows[0][0] if isinstance(outcome, Ran) else None


def test_invariants_hold_under_faults():
    """Guards I1 to I6 against faults in any order."""
    machine = EntryMachine if _SEED is None else seed(int(_SEED))(EntryMachine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=_EXAMPLES,
            stateful_step_count=80,
            deadline=None,
            database=None,
            derandomize=_SEED is None,
            suppress_health_check=list(HealthCheck),
        ),
    )
