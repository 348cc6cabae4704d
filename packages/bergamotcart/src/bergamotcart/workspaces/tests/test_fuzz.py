"""State machine of lenders and borrowers; it counts the operations that run in every window.

BERGAMOTCART_FUZZ_EXAMPLES sets the number of examples, and BERGAMOTCART_FUZZ_SEED their seed.
Without a seed the examples are fixed.
"""

import os

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bergamotcart.workspaces.tests.cap_world import CAPS, FAULTS, SPEEDS, CapWorld

_EXAMPLES = int(os.environ.get('BERGAMOTCART_FUZZ_EXAMPLES', '60'))
_SEED = os.environ.get('BERGAMOTCART_FUZZ_SEED')
_STEPS = 60
_ENTRIES = ('e0', 'e1', 'e2')
_NAMES = st.sampled_from(_ENTRIES)
_ANY = st.integers(min_value=0, max_value=1000)
_SPEEDS = st.sampled_from(SPEEDS)
_SECONDS = st.sampled_from((0.01, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 3.1, 3.5))


def _has_requests(machine: 'CapMachine') -> bool:
    return bool(machine.world.requests)


def _has_answers(machine: 'CapMachine') -> bool:
    return bool(machine.world.answers)


class CapMachine(RuleBasedStateMachine):
    """Faults and operations in any order."""

    def __init__(self) -> None:
        """Start three entries and a leader."""
        super().__init__()
        self.world = CapWorld(len(_ENTRIES))

    @rule(seconds=_SECONDS)
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.world.now += seconds

    @rule(seconds=_SECONDS, names=st.lists(_NAMES, min_size=1, max_size=6))
    def exchange(self, seconds: float, names: list[str]) -> None:
        """Let some entries exchange messages with the leader while time passes."""
        for name in names:
            self.world.now += seconds / len(names)
            self.world.exchange(name)

    @rule(name=_NAMES, count=st.sampled_from((1, 1, 2, 5, 20)))
    def operate(self, name: str, count: int) -> None:
        """Send operations, with an exchange at once as they lack credits."""
        self.world.operate(name, count)
        self.world.exchange(name)

    @rule(
        seconds=st.sampled_from((0.2, 0.5, 1.0, 2.0, 4.0)),
        names=st.lists(_NAMES, min_size=1, max_size=3, unique=True),
        is_sent=st.booleans(),
    )
    def flood(self, seconds: float, names: list[str], is_sent: bool) -> None:
        """Send far more operations than the cap allows; some stay queued with their credits."""
        self.world.flood(seconds, names, is_sent=is_sent)

    @rule(
        victim=_NAMES,
        faults=st.lists(st.sampled_from(FAULTS), max_size=3),
        last_faults=st.lists(st.sampled_from(FAULTS), max_size=2),
        seconds=st.sampled_from((0.3, 2.5, 3.0, 5.0)),
        speed=_SPEEDS,
    )
    def strain(
        self,
        victim: str,
        faults: list[str],
        last_faults: list[str],
        seconds: float,
        speed: float,
    ) -> None:
        """Let entries hold all credits and the bucket be full while faults happen."""
        self.world.strain(victim, faults, last_faults, seconds, speed)

    @rule(name=_NAMES)
    def request(self, name: str) -> None:
        """Send a report that stays in flight."""
        self.world.request(name)

    @precondition(_has_requests)
    @rule(index=_ANY, keep=st.booleans())
    def deliver_request(self, index: int, keep: bool) -> None:
        """Deliver a report in any order, perhaps twice."""
        self.world.deliver_request(index % len(self.world.requests), keep=keep)

    @precondition(_has_answers)
    @rule(index=_ANY, keep=st.booleans())
    def deliver_answer(self, index: int, keep: bool) -> None:
        """Deliver an answer in any order, perhaps twice."""
        self.world.deliver_answer(index % len(self.world.answers), keep=keep)

    @rule()
    def lose_messages(self) -> None:
        """Lose all messages in flight."""
        self.world.requests.clear()
        self.world.answers.clear()

    @rule(name=_NAMES, refused=st.booleans())
    def send_queued(self, name: str, refused: bool) -> None:
        """Send the operations of an entry that have a credit, or refuse them."""
        self.world.send_queued(name, refused=refused)

    @rule()
    def send_all(self) -> None:
        """Send the operations of all entries that have a credit."""
        for name in _ENTRIES:
            self.world.send_queued(name)

    @rule(name=_NAMES)
    def change_reach(self, name: str) -> None:
        """Cut an entry off from the leader, or end that."""
        self.world.cut ^= {name}

    @rule(name=_NAMES)
    def pause(self, name: str) -> None:
        """Pause an entry or let it go on; its clock counts meanwhile."""
        borrower = self.world.borrowers[name]
        borrower.paused = not borrower.paused

    @rule(name=_NAMES, speed=_SPEEDS)
    def restart(self, name: str, speed: float) -> None:
        """Kill an entry and start it again."""
        self.world.start_entry(name, speed)

    @rule(speed=_SPEEDS)
    def fail_over(self, speed: float) -> None:
        """Elect another leader."""
        self.world.fail_over(speed)

    @rule()
    def settle(self) -> None:
        """Let the leader record that it is settled."""
        self.world.settle()

    @rule(cap=st.sampled_from(CAPS))
    def change_cap(self, cap: object) -> None:
        """Change the cap."""
        self.world.change_cap(cap)

    @rule(
        entries=st.lists(_NAMES, min_size=1, max_size=3),
        share=st.sampled_from((0.3, 0.6)),
    )
    def serve_calmly(self, entries: list[str], share: float) -> None:
        """Check that operations below the cap are served when nothing fails."""
        self.world.serve_calmly(entries, share)

    @invariant()
    def keeps_the_cap(self) -> None:
        """Check the bound of the rule."""
        self.world.check_bound()


def test_no_window_exceeds_the_cap() -> None:
    """Guards against more operations than the rule allows, and refusals below the cap."""
    machine = seed(int(_SEED))(CapMachine) if _SEED else CapMachine
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=_EXAMPLES,
            stateful_step_count=_STEPS,
            derandomize=_SEED is None,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
