"""The check of the tests by deliberate faults as a command."""

from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bergamotcart_testkit.mutants._copies import MutantError, apply_fault, library_source
from bergamotcart_testkit.mutants._fault import Fault
from bergamotcart_testkit.mutants._faults import FAULTS
from bergamotcart_testkit.mutants._trial import Trial, run_fault_tests, run_unchanged_tests


class MutantsCommand(Command):
    """Runs tests on copies of the library with deliberate faults."""

    name = 'mutants'
    description = 'Check that the tests catch deliberate faults in copies of the library.'
    options: ClassVar[list[Option]] = [
        option('jobs', None, 'number of copies tested at the same time', flag=False, default='4'),
        option('only', None, 'test only faults whose name contains this text', flag=False),
    ]

    def handle(self) -> int:
        """Run the tests on unchanged copies and on a copy with each fault, and report."""
        selected_faults = [fault for fault in FAULTS if (self.option('only') or '') in fault.name]
        if not selected_faults:
            self.line_error(f'no fault has a name that contains {self.option("only")!r}')
            return 1
        try:
            _check_faults_apply(selected_faults)
        except MutantError as error:
            self.line_error(str(error))
            return 1
        with ThreadPoolExecutor(int(self.option('jobs'))) as pool:
            unchanged = pool.submit(run_unchanged_tests, selected_faults)
            trials = list(pool.map(run_fault_tests, selected_faults))
            unchanged_trials = unchanged.result()
        for trial in unchanged_trials:
            self._print_trial('passed' if trial.passed else 'FAILED', 'unchanged copy', trial)
        for fault, mutant in zip(selected_faults, trials, strict=True):
            self._print_trial('caught' if mutant.failed else 'NOT CAUGHT', fault.name, mutant)
        caught_count = sum(each.failed for each in trials)
        self.line(f'{caught_count} of {len(trials)} faults caught')
        succeeded = caught_count == len(trials) and all(each.passed for each in unchanged_trials)
        return 0 if succeeded else 1

    def _print_trial(self, verdict: str, subject: str, trial: Trial) -> None:
        self.line(f'{verdict}: {subject}')
        self.line(f'  {trial.tests}')
        # Escape ``<``, which the console formatter would read as the start of a tag.
        self.line('  {0}'.format(trial.last_line.replace('<', r'\<')))


def _check_faults_apply(faults: list[Fault]) -> None:
    """Check that each fault applies, before tests run that take minutes.

    :raises MutantError: if a fault does not apply.
    """
    for fault in faults:
        apply_fault(fault, (library_source() / fault.path).read_text())
