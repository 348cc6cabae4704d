"""Tests that an entry finds the control leader among members that are gone or out of date."""

import itertools
from collections import Counter

import pytest

from bergamotcart import entry, messages
from bergamotcart.actions import MessageReceived, Send

_STEP_S = 0.005
_SEARCH_LIMIT_S = 1.0
_LEASE_S = 1.0
_MEMBERS = tuple(f'm{number}' for number in range(6))


class _Network:
    """An engine and control members, each of which grants, names another member, or is gone.

    :param named: by address, the member that a refusal names; the leader names itself.
    :param requests: number of lease requests, by address.
    """

    def __init__(
        self,
        named: dict[str, str],
        *,
        round_trip_s: float = 0.02,
        members: tuple[str, ...] = _MEMBERS,
        seed: int = 0,
    ) -> None:
        self.now = 100.0
        self.named = named
        self.requests: Counter[str] = Counter()
        self._round_trip_s = round_trip_s
        self._numbers = itertools.count()
        self._answers: list[tuple[float, int, messages.Envelope]] = []
        self._engine = entry.EntryEngine(
            entry.EntryConfiguration(
                name='e1',
                incarnation='1',
                availability_zone='z1',
                address='e1',
                control_members=tuple((name, name) for name in members),
                session_key=b'k' * 16,
                seed=seed,
            )
        )
        self._step()

    @property
    def has_lease(self) -> bool:
        """Whether the engine holds a lease."""
        return self._engine.status(self.now).lease_left_s > 0

    def run(self, duration_s: float) -> float:
        """Run for a time and return for how much of it the engine had a lease, in seconds."""
        held = 0
        for _ in range(round(duration_s / _STEP_S)):
            self.now += _STEP_S
            self._step()
            held += self.has_lease
        return held * _STEP_S

    def find_leader(self) -> None:
        """Run until the engine has a lease, for the limit at most."""
        end = self.now + _SEARCH_LIMIT_S
        while not self.has_lease:
            assert self.now < end, f'no lease within {_SEARCH_LIMIT_S} s: {self.requests}'
            self.run(_STEP_S)

    def update_members(self, rows: dict[str, str]) -> None:
        """Send the engine the control members with their addresses."""
        members = tuple(
            messages.ControlMemberRow(
                name=name, incarnation='1', availability_zone='z1', address=address, voter=True
            )
            for name, address in rows.items()
        )
        self._send(_MEMBERS[0], _make_update(members))

    def _step(self) -> None:
        due = [answer for answer in self._answers if answer[0] <= self.now]
        self._answers = [answer for answer in self._answers if answer[0] > self.now]
        inputs = [MessageReceived(envelope) for _, _, envelope in sorted(due)]
        for action in self._engine.step(self.now, inputs).actions:
            if isinstance(action, Send) and isinstance(action.body, messages.LeaseRequest):
                self._answer(action.address, action.body)

    def _answer(self, address: str, request: messages.LeaseRequest) -> None:
        self.requests[address] += 1
        leader = self.named.get(address)
        if leader is None:
            return
        if leader != address:
            self._send(
                address,
                messages.LeaseRefusal(
                    echo_sent_at=request.sent_at, leader=leader, leader_address=leader
                ),
            )
            return
        if request.applied_index == 0:
            self._send(address, _make_update(()))
        grant = messages.LeaseGrant(
            echo_sent_at=request.sent_at,
            duration_s=_LEASE_S,
            renew_after_s=0.25,
            control_term=1,
            current_index=1,
        )
        self._send(address, grant)

    def _send(self, sender: str, body: messages.Body) -> None:
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='default',
            sender=sender,
            incarnation='1',
            sender_address=sender,
            recipient='e1',
            body=body,
        )
        self._answers.append((self.now + self._round_trip_s, next(self._numbers), envelope))


def _make_update(members: tuple[messages.ControlMemberRow, ...]) -> messages.StateUpdate:
    return messages.StateUpdate(
        control_term=1, from_index=0, to_index=1, revision=1, entries_limit=1, members=members
    )


def _followers(leader: str) -> dict[str, str]:
    return dict.fromkeys(_MEMBERS, leader)


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('leader', _MEMBERS)
def test_distant_leader_stays_known(leader, seed):
    """Answers that take longer than the time after which a request is repeated count as well."""
    network = _Network(_followers(leader), round_trip_s=0.2, seed=seed)
    network.find_leader()
    network.requests.clear()
    assert network.run(4) == pytest.approx(4)
    others = network.requests.total() - network.requests[leader]
    assert others <= 4, network.requests


@pytest.mark.parametrize('seed', range(6))
def test_members_that_name_each_other_do_not_hide_the_leader(seed):
    """Both have an old view; the third member is asked although they answer."""
    named = {'m0': 'm1', 'm1': 'm0', 'm2': 'm2'}
    _Network(named, members=('m0', 'm1', 'm2'), seed=seed).find_leader()
    named = {'m0': 'm1', 'm1': 'm0', 'm5': 'm5'}
    _Network(named, seed=seed).find_leader()


@pytest.mark.parametrize('seed', range(6))
def test_members_that_name_a_gone_member_do_not_hide_the_leader(seed):
    """The members that have not heard of the election yet name the former leader."""
    named = dict.fromkeys(_MEMBERS[1:5], 'm0') | {'m5': 'm5'}
    network = _Network(named, seed=seed)
    network.find_leader()


@pytest.mark.parametrize('seed', range(6))
def test_successor_of_a_lost_leader_is_found(seed):
    """Three further members of the settings are gone, too."""
    network = _Network(_followers('m0'), members=(*_MEMBERS, 'gone1', 'gone2', 'gone3'), seed=seed)
    network.find_leader()
    network.named = dict.fromkeys(_MEMBERS[1:], 'm5')
    network.run(_LEASE_S)
    network.find_leader()


def test_member_is_asked_at_both_addresses():
    """A member replaced under its name has its new address in the settings only."""
    network = _Network({}, members=('m0',))
    network.update_members({'m0': 'former'})
    network.run(_LEASE_S)
    network.named = {'m0': 'm0'}
    network.find_leader()
