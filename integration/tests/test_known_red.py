"""Which failures the run of the tests passes over."""

import functools
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

_ROOT = Path(__file__).parents[2]
_LISTED = """message = 'seed 1', 'STALE: a read'
    assert False, chr(10).join(message)"""
_PARTLY_LISTED = """message = 'STALE: a read', 'TWICE: a write'
    assert False, chr(10).join(message)"""
_PORT_IN_USE = "raise ExceptionGroup('runs', [OSError(98, 'in use')])"


@pytest.fixture
def run_tests(tmp_path):
    """Return a function that runs one test beside a list of known failures."""
    shutil.copy(_ROOT / 'conftest.py', tmp_path)
    (tmp_path / 'pytest.ini').write_text('[pytest]\n')
    (tmp_path / 'KNOWN-RED.txt').write_text(
        'Known:\n- CI passes over test_it.py::test_listed: STALE, OSError 98\n'
    )
    return functools.partial(_run, tmp_path)


def _run(folder, name, body):
    (folder / 'test_it.py').write_text(f'def {name}():\n    {body}\n')
    command = (sys.executable, '-m', 'pytest', '-rxX', '-p', 'no:cacheprovider', '.')
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(('body', 'symptom'), [(_LISTED, 'STALE'), (_PORT_IN_USE, 'OSError 98')])
def test_listed_failure_is_printed_and_passed_over(run_tests, body, symptom):
    """Guards against a known failure that ends the run, or that nobody sees."""
    finished = run_tests('test_listed', body)
    assert finished.returncode == 0, finished.stdout
    assert f'XFAIL test_it.py::test_listed - KNOWN-RED.txt: {symptom}' in finished.stdout


@pytest.mark.parametrize(
    ('name', 'body'),
    [
        ('test_other', _LISTED),
        ('test_listed', 'assert False'),
        ('test_listed', _PARTLY_LISTED),
        ('test_listed', "raise OSError(13, 'denied')"),
        ('test_listed', "raise ValueError('STALE: not an assertion')"),
    ],
)
def test_other_failure_fails_the_run(run_tests, name, body):
    """Guards against a list that hides other tests, or other failures of a listed test."""
    finished = run_tests(name, body)
    assert finished.returncode == 1, finished.stdout
