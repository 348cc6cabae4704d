"""Simulation of callers that send one entry more requests than its instances can serve."""

from dataclasses import dataclass
from typing import Final

import msgspec

from bergamotcart import entry, messages
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.outcomes import NotRun, Ran, Reason
from bergamotcart.statements import Statement

TICK_S: Final = 0.005
_LEASE_S: Final = 1000.0
# Delay before a refused request is sent again if the refusal names none.
_RETRY_DELAY_S: Final = 0.2


@dataclass
class Caller:
    """One request of a caller.

    :ivar took_s: seconds until its answer, or ``None`` without an answer yet.
    :ivar retries: number of times that it may still be sent again after a refusal.
    """

    request: int
    sent_at: float
    database: str
    kind: Statement
    took_s: float | None = None
    retries: int = 0


class Crowd:
    """Sends requests at a rate, and answers the executions of each instance one by one.

    :ivar callers: all requests, oldest first.
    :ivar retries: number of times that a caller sends a refused request again.
    """

    def __init__(self, service_s: float, **routes: dict[str, object]) -> None:
        """Create an entry with a lease.

        :param service_s: seconds in which an instance serves one execution.
        :param routes: changed fields of the routes, by database name.
        """
        self.harness = RoutedEntryHarness()
        self.callers: list[Caller] = []
        self._service_s = service_s
        self._free_at: dict[str, float] = {}
        self._running: list[tuple[float, entry.Execute]] = []
        self._owed = 0.0
        self._returning: list[tuple[float, Caller]] = []
        self.retries = 0
        self.harness.section = _change_routes(self.harness.section, routes)
        self.harness.update()
        self.harness.receive(
            self.harness.build_grant(self.harness.lease_requests[-1].sent_at, _LEASE_S, 10)
        )

    def run(self, duration_s: float, rate_per_s: float, database: str, kind: Statement) -> None:
        """Send requests of one kind for some seconds."""
        for _ in range(round(duration_s / TICK_S)):
            self._owed += rate_per_s * TICK_S
            while self._owed >= 1:
                self._owed -= 1
                self.send(database, kind)
            self.advance()

    def send(self, database: str, kind: Statement, retries: int | None = None) -> Caller:
        """Send one request in a session of its own."""
        retries = self.retries if retries is None else retries
        session = self.harness.open_session(database)
        text = 'READ x' if kind is routed.READ else 'WRITE x 1'
        sent = self.harness.send_statement(session, kind, text)
        self.callers.append(Caller(sent, self.harness.now, database, kind, retries=retries))
        return self.callers[-1]

    def advance(self) -> None:
        """Advance the clock by one tick, and answer the executions that have ended."""
        self.harness.advance(TICK_S)
        self.harness.answer_probes()
        for action in self.harness.executions:
            name = action.target.instance
            start = max(self._free_at.get(name, 0), self.harness.now)
            self._free_at[name] = start + self._service_s
            self._running.append((self._free_at[name], action))
        self.harness.executions.clear()
        due = [item for item in self._running if item[0] <= self.harness.now]
        self._running = [item for item in self._running if item[0] > self.harness.now]
        for ended in due:
            self.harness.finish_execution(ended[1])
        for caller in self.callers:
            if caller.took_s is None and caller.request in self.harness.replies:
                caller.took_s = self.harness.now - caller.sent_at
                self._schedule_return(caller)
        due_callers = [item for item in self._returning if item[0] <= self.harness.now]
        self._returning = [item for item in self._returning if item[0] > self.harness.now]
        for _, returning in due_callers:
            self.send(returning.database, returning.kind, returning.retries - 1)

    def served(self, callers: list[Caller]) -> list[Caller]:
        """Return those whose request ran."""
        return [each for each in callers if isinstance(self._outcome(each), Ran)]

    def refusals(self, callers: list[Caller], *reasons: Reason) -> list[NotRun]:
        """Return the refusals, all or those for some reasons."""
        outcomes = [self._outcome(each) for each in callers]
        refusals = [outcome for outcome in outcomes if isinstance(outcome, NotRun)]
        return [each for each in refusals if not reasons or each.reason in reasons]

    def _schedule_return(self, caller: Caller) -> None:
        """Send a refused request again when the refusal says so."""
        if caller.retries and self.refusals([caller]):
            retry_after_s = self.refusals([caller])[0].retry_after
            delay_s = _RETRY_DELAY_S if retry_after_s is None else retry_after_s
            self._returning.append((self.harness.now + delay_s, caller))

    def _outcome(self, caller: Caller) -> object:
        reply = self.harness.replies.get(caller.request)
        return reply.outcome if reply else None


def _change_routes(
    section: messages.SectionRow, changes: dict[str, dict[str, object]]
) -> messages.SectionRow:
    body = msgspec.json.decode(section.body)
    for route in body['routes']:
        route.update(changes.get(route['name'], {}))
    encoded = msgspec.json.encode(body).decode()
    return msgspec.structs.replace(section, version=section.version + 1, body=encoded)
