"""One run of tests on a copy of the library."""

import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import pytest

from bergamotcart_testkit.mutants._copies import copy_library
from bergamotcart_testkit.mutants._fault import Fault

# The slowest test of the table takes 10 s on an idle core; the limit allows for a busy machine.
TIME_LIMIT_S: Final = 240
_EXAMPLES_VARIABLE: Final = 'BERGAMOTCART_FUZZ_EXAMPLES'
_SEED_VARIABLE: Final = 'BERGAMOTCART_FUZZ_SEED'
# Prefix of the lines in which pytest reports the cause of a failure.
_ERROR_PREFIX: Final = 'E  '


@dataclass(frozen=True, slots=True)
class Trial:
    """Result of one run of tests.

    :param tests: tests that were run.
    :param status: pytest's exit status, or ``None`` if it timed out.
    :param last_line: last line of the failing check, or of the output if none failed.
    """

    tests: str
    status: int | None
    last_line: str

    @property
    def passed(self) -> bool:
        """Whether all tests passed."""
        return self.status == pytest.ExitCode.OK

    @property
    def failed(self) -> bool:
        """Whether a test failed; a test that cannot be loaded or times out is no failure."""
        return self.status == pytest.ExitCode.TESTS_FAILED


@dataclass(frozen=True, slots=True)
class _TestSelection:
    """Tests with the number of examples and the seed of fuzz tests."""

    path: str
    examples: int | None
    seed: int | None

    @property
    def environment(self) -> dict[str, str]:
        """Environment of the run; without a seed, the tests use fixed examples."""
        variables = {
            name: setting
            for name, setting in os.environ.items()
            if name not in {_EXAMPLES_VARIABLE, _SEED_VARIABLE}
        }
        if self.examples is not None:
            variables[_EXAMPLES_VARIABLE] = str(self.examples)
        if self.seed is not None:
            variables[_SEED_VARIABLE] = str(self.seed)
        return variables


def run_fault_tests(fault: Fault) -> Trial:
    """Run the fault's tests on a copy with the fault."""
    return _run_on_copy(fault, _select_tests(fault))


def run_unchanged_tests(faults: Iterable[Fault]) -> list[Trial]:
    """Run the tests of faults on unchanged copies, with the same examples and seeds."""
    return [_run_on_copy(None, tests) for tests in dict.fromkeys(map(_select_tests, faults))]


def _select_tests(fault: Fault) -> _TestSelection:
    return _TestSelection(fault.tests, fault.examples, fault.seed)


def _run_on_copy(fault: Fault | None, tests: _TestSelection) -> Trial:
    with tempfile.TemporaryDirectory(prefix='bergamotcart-mutant-') as folder:
        source = Path(folder) / 'src'
        copy_library(source, fault)
        return _run_tests(source, tests)


def _run_tests(source: Path, tests: _TestSelection) -> Trial:
    paths = os.pathsep.join((str(source), os.environ.get('PYTHONPATH', '')))
    command = [sys.executable, '-m', 'pytest', '-x', '--import-mode=importlib']
    command.extend(('-p', 'no:cacheprovider', f'--rootdir={source}', tests.path))
    try:
        finished = subprocess.run(
            command,
            cwd=source,
            env=tests.environment | {'PYTHONPATH': paths},
            capture_output=True,
            check=False,
            text=True,
            timeout=TIME_LIMIT_S,
        )
    except subprocess.TimeoutExpired:
        return Trial(tests.path, None, f'{tests.path} did not end within {TIME_LIMIT_S} s')
    return Trial(tests.path, finished.returncode, _last_line(finished.stdout + finished.stderr))


def _last_line(output: str) -> str:
    lines = [line for line in output.splitlines() if line.strip()]
    errors = [line.removeprefix('E').strip() for line in lines if line.startswith(_ERROR_PREFIX)]
    checks = [line for line in errors if 'Error' in line]
    candidates = checks or errors or lines or ['no output']
    return candidates[-1]
