"""One run of the fuzz tests by pytest."""

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import bergamotcart

_TESTED_PACKAGES: Final = ('consensus', 'control', 'entry')


@dataclass(frozen=True, slots=True)
class FuzzRun:
    """Parameters with which a run can be repeated.

    :param examples: number of examples of each fuzz test.
    :param seed: seed of all fuzz tests.
    """

    examples: int
    seed: int


def run_fuzz_tests(run: FuzzRun) -> int:
    """Run the fuzz tests in a subprocess.

    :param run: number of examples and seed.
    :returns: pytest's exit status.
    """
    library = Path(bergamotcart.__file__).parent
    paths = [str(library / package / 'tests' / 'test_fuzz.py') for package in _TESTED_PACKAGES]
    fuzz_variables = {
        'BERGAMOTCART_FUZZ_EXAMPLES': str(run.examples),
        'BERGAMOTCART_FUZZ_SEED': str(run.seed),
    }
    command = [sys.executable, '-m', 'pytest', '--import-mode=importlib', *paths]
    return subprocess.run(command, env=os.environ | fuzz_variables, check=False).returncode
