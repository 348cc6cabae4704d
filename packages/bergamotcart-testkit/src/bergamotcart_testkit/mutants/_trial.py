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
from bergamotcart_testkit.mutants._faults import Fault

# The slowest test of the table takes 10 s on an idle core, so this allows for a busy machine.
TIME_LIMIT_S: Final = 240
_EXAMPLES: Final = 'BERGAMOTCART_FUZZ_EXAMPLES'
_SEED: Final = 'BERGAMOTCART_FUZZ_SEED'
# Prefix of the lines in which pytest explains a failure.
_ERROR_PREFIX: Final = 'E  '


@dataclass(frozen=True, slots=True)
class Trial:
    """Result of one run of tests.

    :param tests: tests that were run.
    :param status: pytest's exit status, or ``None`` if it did not end in time.
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
        """Whether a test failed; a test that cannot be loaded, or no end in time, is no failure."""
        return self.status == pytest.ExitCode.TESTS_FAILED


@dataclass(frozen=True, slots=True)
class _Tests:
    """Tests with the settings of their search."""

    path: str
    examples: int | None
    seed: int | None

    @property
    def environment(self) -> dict[str, str]:
        """Environment of the run; without a seed, the tests use fixed examples."""
        variables = {
            name: setting for name, setting in os.environ.items() if name not in {_EXAMPLES, _SEED}
        }
        if self.examples is not None:
            variables[_EXAMPLES] = str(self.examples)
        if self.seed is not None:
            variables[_SEED] = str(self.seed)
        return variables


def try_fault(fault: Fault) -> Trial:
    """Run the fault's tests on a copy with the fault."""
    return _try_copy(fault, _tests_of(fault))


def try_unchanged(faults: Iterable[Fault]) -> list[Trial]:
    """Run the tests of faults on unchanged copies, with the same examples and seeds."""
    return [_try_copy(None, tests) for tests in dict.fromkeys(map(_tests_of, faults))]


def _tests_of(fault: Fault) -> _Tests:
    return _Tests(fault.tests, fault.examples, fault.seed)


def _try_copy(fault: Fault | None, tests: _Tests) -> Trial:
    with tempfile.TemporaryDirectory(prefix='bergamotcart-mutant-') as folder:
        source = Path(folder) / 'src'
        copy_library(source, fault)
        return _run_tests(source, tests)


def _run_tests(source: Path, tests: _Tests) -> Trial:
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
        return Trial(tests.path, None, f'no end within {TIME_LIMIT_S} s')
    return Trial(tests.path, finished.returncode, _last_line(finished.stdout + finished.stderr))


def _last_line(output: str) -> str:
    lines = [line for line in output.splitlines() if line.strip()]
    errors = [line.removeprefix('E').strip() for line in lines if line.startswith(_ERROR_PREFIX)]
    checks = [line for line in errors if 'Error' in line]
    chosen = checks or errors or lines or ['no output']
    return chosen[-1]
