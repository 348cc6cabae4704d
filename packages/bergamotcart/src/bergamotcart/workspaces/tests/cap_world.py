"""Lenders and borrowers with faulty messages, and a count of the operations that ran."""

from bergamotcart.messages import CapLoans, CapReport
from bergamotcart.workspaces import (
    Allowance,
    Cap,
    CapLender,
    CapSettings,
    CreditHolder,
    Desire,
    find_former_loans_end,
)

WORKSPACE = 'w'
_NOTHING = Cap(0, 0)
CAPS = (Cap(4, 2), Cap(1, 1), Cap(8, 6), _NOTHING)
SETTINGS = CapSettings(window_s=2, overage=0.1, slack=6)
# Speeds of clocks relative to the true time, within the drift margin of each other.
SPEEDS = (1.0, 0.99, 1.01)
# An operation that is served in time waits no longer than this.
PATIENCE_S = 0.5
_FLOOD_STEP_S = 0.1
_STRAIN_S = 3.0
FAULTS = ('cut', 'pause', 'kill', 'late', 'lower', 'fail_over', 'fail_over')
# Time after which a lowered cap binds, since entries in touch have applied it.
APPLY_S = 4.0


class Borrower:
    """One incarnation of an entry, with operations that wait for credits or to be sent."""

    def __init__(self, name: str, incarnation: int, speed: float) -> None:
        """Start without credits."""
        self.name = name
        self.key = f'{name}/{incarnation}'
        self.holder = CreditHolder(SETTINGS.drift_margin, 1000 * incarnation)
        self.speed = speed
        self.waiting: list[float] = []
        self.queued: list[int] = []
        self.cap: Cap | None = None
        self.paused = False


class CapWorld:
    """True time, messages in flight, the leader's lender and the entries.

    :ivar ran: true times at which operations were sent to an instance.
    """

    def __init__(self, entries: int) -> None:
        """Start with the first leader of the domain."""
        self.now = 50.0
        self.ran: list[float] = []
        self.served_after: list[float] = []
        self.caps: list[tuple[float, Cap]] = [(0, CAPS[0])]
        self.requests: list[tuple[str, str, CapReport]] = []
        self.answers: list[tuple[str, int, CapLoans]] = []
        self.cut: set[str] = set()
        self.settled_term = 0
        self.term = 0
        self.lender_speed = 1.0
        self.incarnation = 0
        self.borrowers: dict[str, Borrower] = {}
        for index in range(entries):
            self.start_entry(f'e{index}', SPEEDS[index % len(SPEEDS)])
        self.fail_over(1.0)

    @property
    def cap(self) -> Cap:
        """The cap in force."""
        return self.caps[-1][1]

    @property
    def lender_now(self) -> float:
        """Clock of the leader."""
        return self.now * self.lender_speed

    def clock(self, borrower: Borrower) -> float:
        """Return the clock of an entry."""
        return self.now * borrower.speed

    def start_entry(self, name: str, speed: float) -> None:
        """Start an entry, or kill it and start it again without memory."""
        self.incarnation += 1
        self.borrowers[name] = Borrower(name, self.incarnation, speed)

    def fail_over(self, speed: float) -> None:
        """Elect a leader that knows only whether its predecessor was settled."""
        former = self.term
        self.term += 1
        self.lender_speed = speed
        self.lender = CapLender(
            SETTINGS,
            self.term,
            find_former_loans_end(self.lender_now, SETTINGS),
            has_reserve=former == self.settled_term,
        )
        self.lender.change_caps(self.lender_now, {WORKSPACE: self.cap})

    def settle(self) -> None:
        """Record that the leader is settled, if it is."""
        if self.lender.is_settled(self.lender_now):
            self.settled_term = self.term

    def change_cap(self, cap: Cap) -> None:
        """Change the cap at the leader; entries learn it with their next answer."""
        self.caps.append((self.now, cap))
        self.lender.change_caps(self.lender_now, {WORKSPACE: cap})

    def request(self, name: str) -> None:
        """Make an entry send a report."""
        borrower = self.borrowers[name]
        if borrower.paused:
            return
        borrower.holder.return_free(self.clock(borrower), WORKSPACE, 1)
        desire = Desire(len(borrower.waiting), 1)
        report = borrower.holder.build_report(self.clock(borrower), {WORKSPACE: desire})
        self.requests.append((name, borrower.key, report))

    def deliver_request(self, index: int, *, keep: bool = False) -> None:
        """Deliver a report to the leader; a kept one arrives again later."""
        name, key, report = self.requests[index] if keep else self.requests.pop(index)
        if name in self.cut:
            return
        answer = self.lender.answer_report(self.lender_now, key, report)
        if answer is not None:
            self.answers.append((name, self.term, answer))

    def deliver_answer(self, index: int, *, keep: bool = False) -> None:
        """Deliver an answer to an entry; a kept one arrives again later."""
        name, term, answer = self.answers[index] if keep else self.answers.pop(index)
        borrower = self.borrowers[name]
        if name in self.cut or borrower.paused:
            return
        now = self.clock(borrower)
        if not borrower.holder.accept_loans(now, term, answer):
            return
        if borrower.cap != self.cap:
            borrower.cap = self.cap
            borrower.holder.revoke(now, WORKSPACE)
        self.start_waiting(borrower)

    def exchange(self, name: str) -> None:
        """Send a report and deliver it and its answer at once."""
        sent = len(self.requests)
        self.request(name)
        for _ in self.requests[sent:]:
            answered = len(self.answers)
            self.deliver_request(len(self.requests) - 1)
            for _ in self.answers[answered:]:
                self.deliver_answer(len(self.answers) - 1)

    def operate(self, name: str, count: int) -> None:
        """Let callers send operations to an entry."""
        borrower = self.borrowers[name]
        borrower.waiting.extend(self.now for _ in range(count))
        if not borrower.paused:
            self.start_waiting(borrower)

    def flood(self, seconds: float, names: list[str], *, is_sent: bool) -> None:
        """Send many operations to some entries.

        :param is_sent: whether entries send those with a credit to an instance.
        """
        for _ in range(round(seconds / _FLOOD_STEP_S)):
            self.now += _FLOOD_STEP_S
            for name in names:
                self.operate(name, 10)
                self.exchange(name)
                if is_sent:
                    self.send_queued(name)
            self.check_bound()

    def strain(
        self,
        victim: str,
        faults: list[str],
        last_faults: list[str],
        seconds: float,
        speed: float,
    ) -> None:
        """Run operations that queued up before and after faults together with new ones.

        :param victim: entry that is cut off, paused or restarted.
        :param last_faults: faults while operations are sent.
        :param seconds: time between the faults and the sending of the queued operations.
        """
        entries = list(self.borrowers)
        # The victim gets all credits, and the bucket is full then.
        self.flood(_STRAIN_S, [victim], is_sent=False)
        self.request(victim)
        for fault in faults:
            self._cause(fault, victim, speed)
            self.flood(_FLOOD_STEP_S, entries, is_sent=False)
        self.flood(seconds, entries, is_sent=False)
        self.borrowers[victim].paused = False
        self._send_all_queued()
        self.cut.discard(victim)
        self.flood(SETTINGS.window_s / 4, entries, is_sent=True)
        for fault in last_faults:
            self._cause(fault, victim, speed)
        self.flood(SETTINGS.window_s * 3 / 4, entries, is_sent=True)

    def start_waiting(self, borrower: Borrower) -> None:
        """Queue the waiting operations that get a credit, and drop those that waited too long."""
        borrower.waiting = [at for at in borrower.waiting if self.now - at <= PATIENCE_S]
        while borrower.waiting:
            credit = borrower.holder.reserve(self.clock(borrower), WORKSPACE)
            if credit is None:
                return
            self.served_after.append(self.now - borrower.waiting.pop(0))
            borrower.queued.append(credit)

    def send_queued(self, name: str, *, refused: bool = False) -> None:
        """Send the queued operations to an instance, or refuse them unsent."""
        borrower = self.borrowers[name]
        if borrower.paused:
            return
        queued = tuple(borrower.queued)
        borrower.queued.clear()
        for credit in queued:
            if refused:
                borrower.holder.release(self.clock(borrower), WORKSPACE, credit)
            elif borrower.holder.spend(self.clock(borrower), WORKSPACE, credit):
                self.ran.append(self.now)

    def check_bound(self) -> None:
        """Check the rule of the cap in the window that ends now.

        Caps that were in force shortly before the window still count, since a lowered cap binds
        only once the entries have applied it and a whole window has passed.
        """
        start = self.now - SETTINGS.window_s
        since = start - SETTINGS.window_s - APPLY_S
        last = sum(1 for at, _ in self.caps if at <= since) or 1
        caps = [cap for _, cap in self.caps[last - 1 :]]
        allowances = [Allowance.of(cap, SETTINGS) for cap in caps]
        lent_beyond = max(each.lasting + each.reserved for each in allowances)
        refilled = max(cap.rate_per_s for cap in caps) * SETTINGS.window_s * max(SPEEDS)
        bound = refilled + max(cap.capacity for cap in caps) + lent_beyond
        self.ran = [at for at in self.ran if at >= start]
        assert len(self.ran) <= bound + 1e-6, f'{len(self.ran)} operations, allowed {bound}'

    def serve_calmly(self, entries: list[str], share: float) -> None:
        """Check that a workspace below its cap is served while all entries reach the leader."""
        self.cut.clear()
        for name, borrower in self.borrowers.items():
            borrower.paused = False
            borrower.waiting.clear()
            self.send_queued(name, refused=True)
        self._run_calm(5, 0, entries)
        if not self.cap.admits_nothing:
            self._run_calm(4, share * self.cap.rate_per_s, entries)

    def _run_calm(self, seconds: float, rate: float, entries: list[str]) -> None:
        """Exchange a report each 0.25 s, and further ones while operations wait."""
        step_s, due, sent = 0.05, 0.0, 0
        served = len(self.served_after)
        for step in range(int(seconds / step_s)):
            self.now += step_s
            due += rate * step_s
            while sent < int(due):
                self.operate(entries[sent % len(entries)], 1)
                sent += 1
            for name, borrower in self.borrowers.items():
                if step % 5 == 0 or borrower.waiting:
                    self.exchange(name)
                self.send_queued(name)
            self.check_bound()
        waiting = sum(len(each.waiting) for each in self.borrowers.values())
        assert len(self.served_after) - served + waiting == sent, 'refused below the cap'

    def _cause(self, fault: str, victim: str, speed: float) -> None:
        match fault:
            case 'cut':
                self.cut.add(victim)
            case 'pause':
                self.borrowers[victim].paused = True
            case 'kill':
                self.start_entry(victim, speed)
            case 'late':
                if self.requests:
                    self.deliver_request(0, keep=True)
            case 'lower':
                self.change_cap(CAPS[0])
            case _:
                self.settle()
                self.fail_over(speed)

    def _send_all_queued(self) -> None:
        for name in self.borrowers:
            self.send_queued(name)
        self.check_bound()
        while self.answers:
            self.deliver_answer(0)
