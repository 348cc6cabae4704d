"""Tests that ``config check`` finds what control refuses, and tells what a change does."""

import json
from pathlib import Path
from types import MappingProxyType

import pytest
from cleo.io.buffered_io import BufferedIO
from cleo.io.inputs.argv_input import ArgvInput

from bergamotcart_ctl.main import build_application

_KEY = 'kdrbn4ryrbbkf83fgfwr'
_ROUTE = MappingProxyType(
    {
        'name': 'r1',
        'host': 'shop',
        'route_type': 'bounded_staleness',
        'timeout_ms': 3000,
        'target_latency_ms': 500,
        'service': 'ledger',
        'max_staleness_ms': 100,
    }
)
_DOCUMENT = f"""sections:
  databases:
    kind: groups
    body: |
      groups:
        tickets: {{}}
  apps:
    kind: policies
    body: |
      policies:
        - name: all
        - name: some
          callers: [guides]
          deadline_s: soon
  tenants:
    kind: workspaces
    body: |
      {{"workspaces":
        [{{"name": "w", "key_digests": ["{_KEY}"], "rate_per_s": 5, "burst": 0}}]}}
"""


class _Checker:
    """Checks a text and returns the exit status and the output."""

    def __init__(self, path: Path, capsys: pytest.CaptureFixture[str]) -> None:
        self._path = path
        self._capsys = capsys

    def __call__(self, text: str, *options: str) -> tuple[int, str]:
        self._path.write_text(text)
        arguments = ArgvInput(['bergamotctl', 'config', 'check', str(self._path), *options])
        buffered = BufferedIO()
        status = build_application().run(arguments, buffered.output, buffered.error_output)
        captured = self._capsys.readouterr()
        return status, buffered.fetch_output() + captured.out + captured.err


@pytest.fixture
def check(tmp_path, capsys, monkeypatch):
    """A checker without a configured server."""
    monkeypatch.delenv('BERGAMOTCTL_SERVER', raising=False)
    return _Checker(tmp_path / 'file', capsys)


def _encode(*routes: dict[str, object], **limits: object) -> str:
    form = {
        'version': 1,
        'routes': [dict(_ROUTE) | route for route in routes],
        'services': [{'name': 'ledger', 'max_conns': 30}],
        'limits': limits,
    }
    return json.dumps(form, indent=1)


def test_error_has_line_and_path(check):
    """An operator would have to search a long file for the field."""
    status, output = check(_DOCUMENT)
    assert status == 1
    assert 'file:14: error: sections.apps.policies[1].deadline_s: Expected `float`' in output
    assert 'file:19: warning: sections.tenants.workspaces[0].burst' in output
    assert _KEY not in output


def test_warnings_fail_only_if_strict(check):
    """A warning must not stop a deployment that has run with it."""
    text = _DOCUMENT.replace('soon', '3')
    status, output = check(text)
    assert status == 0
    assert "never matches: the policy 'all' before it" in output
    assert check(text, '--strict')[0] == 1


@pytest.mark.parametrize(
    ('route', 'options', 'expected'),
    [
        ({'target_latency_ms': 4000}, (), 'target_latency_ms: the objective of 4 s exceeds'),
        ({'max_attempts': 9}, (), 'max_attempts: 9 attempts'),
        ({'path_prefix': '/a'}, (), 'path_prefix: never matches'),
        ({}, ('--replication-lag-ms', '200'), 'max_staleness_ms: the age of 0.1 s is below'),
        ({'service': 'none'}, (), "routes[0].service: route r1: unknown service 'none'"),
        ({'timeout_ms': 'x'}, (), 'routes[0].timeout_ms: Expected `int`, got `str`'),
    ],
)
def test_problems_have_the_names_of_the_platform(check, route, options, expected):
    """The operator of the platform knows no other names."""
    assert expected in check(_encode(route), *options)[1]


def test_malformed_file_is_reported_by_line(check):
    """The text around the fault may hold keys, so only its place is shown."""
    status, output = check(f'{{"version": 1,\n "a" "{_KEY}"}}')
    assert status == 1
    assert 'file:2: error: JSON is malformed' in output
    assert _KEY not in output


def test_differences_tell_what_the_change_does(check, tmp_path):
    """A dropped route, a withdrawn key or a lowered cap refuses callers."""
    valid = _DOCUMENT.replace('soon', '3').replace('"burst": 0', '"burst": 9')
    (tmp_path / 'before').write_text(valid)
    after = valid.replace(f'"{_KEY}"', '"other"').replace('"rate_per_s": 5', '"rate_per_s": 4')
    _, output = check(after, '--against', str(tmp_path / 'before'))
    assert '~ workspace w: 1 keys are withdrawn' in output
    assert '~ workspace w: the cap is lowered, rate_per_s: 5.0 becomes 4.0' in output
    assert _KEY not in output
    (tmp_path / 'before').write_text(_encode({}, {'host': 'old'}))
    _, output = check(_encode({}), '--against', str(tmp_path / 'before'))
    assert '- route old: the route is dropped' in output
    assert '\x1b' not in output


def test_json_output(check, tmp_path):
    """Programs read the findings."""
    (tmp_path / 'before').write_text(_encode({'timeout_ms': 2000}))
    _, output = check(_encode({}), '--json', '--against', str(tmp_path / 'before'))
    report = json.loads(output)
    assert report['findings'] == []
    assert report['differences'] == [
        {
            'kind': 'changed',
            'subject': 'route shop',
            'effect': 'statement_timeout_s: 2.0 becomes 3.0',
        }
    ]


def test_exit_status_without_an_answer(check):
    """Scripts tell a control that does not answer from a faulty file."""
    assert check(_encode({}), '--server', '127.0.0.1:1')[0] == 3
    assert check(_encode({'timeout_ms': 0}), '--server', '127.0.0.1:1')[0] == 1
    assert check(_encode({}), '--replication-lag-ms', 'x')[0] == 2
