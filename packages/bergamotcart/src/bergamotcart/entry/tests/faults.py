"""Rules of the fuzz machine that inject faults in targets, control, messages and time."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bergamotcart.entry.tests.world import World
from bergamotcart.messages import GroupPhase

MODES = ('ok', 'refuse', 'lose', 'late', 'mute')
_ANY = st.integers(min_value=0, max_value=1_000_000)


class Faults(RuleBasedStateMachine):
    """State machine whose rules are faults and failovers, in any order."""

    def __init__(self) -> None:
        """Create the machine with all parts connected."""
        super().__init__()
        self.world = World()
        self.world.announce()
        self.world.advance(0.01)
        self.world.settle()

    @rule(which=_ANY, mode=st.sampled_from(MODES), stop_at=st.integers(0, 5))
    def execute(self, which: int, mode: str, stop_at: int) -> None:
        """Finish an execution, with or without a fault."""
        if self.world.executions:
            self.world.execute(which % len(self.world.executions), mode, stop_at)

    @rule(which=_ANY)
    def run_detached_step(self, which: int) -> None:
        """Let a target run a step whose connection broke."""
        if self.world.detached_steps:
            self.world.run_detached_step(which % len(self.world.detached_steps))

    @rule(which=_ANY, lose=st.sampled_from((False, False, False, True)))
    def probe(self, which: int, lose: bool) -> None:
        """Answer a probe, or lose it."""
        if self.world.probes:
            self.world.answer_probe(which % len(self.world.probes), lose=lose)

    @rule(which=_ANY)
    def read_position(self, which: int) -> None:
        """Let a target answer a probe, but keep the answer in transit."""
        if self.world.probes:
            self.world.read_position(which % len(self.world.probes))

    @rule(which=_ANY)
    def end_slow_probe(self, which: int) -> None:
        """Deliver an answer to a probe that was in transit."""
        if self.world.delayed_reports:
            self.world.step(
                *self.world.delayed_reports.pop(which % len(self.world.delayed_reports))
            )

    @rule(which=_ANY, keep=st.booleans())
    def deliver(self, which: int, keep: bool) -> None:
        """Deliver a message out of order, perhaps twice."""
        if self.world.pending_messages:
            self.world.deliver(which % len(self.world.pending_messages), keep=keep)

    @rule(which=_ANY)
    def lose_message(self, which: int) -> None:
        """Lose a message."""
        if self.world.pending_messages:
            self.world.pending_messages.pop(which % len(self.world.pending_messages))

    @rule(seconds=st.sampled_from((0.001, 0.01, 0.05, 0.05, 0.3, 1.1, 4.0)))
    def advance(self, seconds: float) -> None:
        """Advance the clock, perhaps by a jump."""
        self.world.advance(seconds)

    @rule(name=st.sampled_from('abc'), count=st.integers(0, 3))
    def replicate(self, name: str, count: int) -> None:
        """Let a replica copy a few records."""
        self.world.targets[name].replicate(count)

    @rule(reachable=st.sampled_from((True, True, True, False)))
    def reach_control(self, reachable: bool) -> None:
        """Disconnect the entries from control, or reconnect them."""
        self.world.control.reachable = reachable

    @rule(name=st.sampled_from('abc'), up=st.booleans())
    def restart(self, name: str, up: bool) -> None:
        """Stop an instance, or restart it; two of the three instances always run."""
        target = self.world.targets[name]
        target.open.clear()
        target.up = False
        if up or sum(one.up for one in self.world.targets.values()) < 2:
            target.restart()

    @rule(which=_ANY)
    def freeze(self, which: int) -> None:
        """Freeze the group to replace the primary; the updates to the entries may be lost."""
        control = self.world.control
        if control.row.phase is GroupPhase.frozen:
            return
        control.freeze()
        for name in self.world.engines:
            if which % 3:
                self.world.post('control', name, control.update())

    @rule(
        left_out=st.sampled_from('aabc'),
        update_entries=st.booleans(),
        seconds=st.sampled_from((0.3, 1.1)),
    )
    def fail_over(self, left_out: str, update_entries: bool, seconds: float) -> None:
        """Replace the primary, with entries that are updated or whose leases expire."""
        self.freeze(int(update_entries))
        while self.world.pending_messages and update_entries:
            self.world.deliver(0)
        self.world.advance(seconds)
        self.promote(left_out)

    @rule(left_out=st.sampled_from('abc'))
    def promote(self, left_out: str) -> None:
        """Promote an instance of a majority once no entry may acknowledge for the old term."""
        control, targets = self.world.control, self.world.targets
        if control.row.phase is GroupPhase.open:
            return
        majority = [target for name, target in targets.items() if name != left_out and target.up]
        if control.is_frozen_everywhere(self.world.now) and len(majority) == 2:
            control.promote(majority)
            self.world.oracle.check_no_write_lost()

    @rule(name=st.sampled_from('abc'))
    def rejoin(self, name: str) -> None:
        """Let an instance that was not in the majority follow the new primary."""
        self.world.control.rejoin(self.world.targets[name])

    def heal(self) -> None:
        """End all faults and failovers."""
        world = self.world
        world.control.reachable = True
        for stopped in world.targets.values():
            if not stopped.up:
                stopped.restart()
        if world.control.row.phase is GroupPhase.frozen:
            world.advance(2)
            world.control.promote(list(world.targets.values()))
        for target in world.targets.values():
            world.control.rejoin(target)
