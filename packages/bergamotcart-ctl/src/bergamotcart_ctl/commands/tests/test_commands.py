"""Tests that the commands do not lose, repeat or overwrite changes of the document."""

import asyncio
import json
import socket
import threading
from pathlib import Path

import pytest
import yaml
from aiohttp import web
from cleo.io.inputs.argv_input import ArgvInput

from bergamotcart_ctl.main import build_application


class _FakeControl:
    """A control process with one document; it can fail requests with a gateway time-out."""

    def __init__(self) -> None:
        self.sections = {
            'databases': {'kind': 'groups', 'version': 4, 'body': 'groups:\n  tickets: {}\n'},
            'app': {'kind': 'policies', 'version': 2, 'body': '# kept\npolicies: []\n'},
        }
        self.received_changes: list[dict[str, object]] = []
        self.remaining_timeouts = 0
        self.entries = [{'name': 'e1', 'revision': 9}, {'name': 'e2', 'revision': 12}]

    async def get_document(self, request: web.Request) -> web.Response:
        rows = [{'name': name, **section} for name, section in self.sections.items()]
        return web.json_response({'revision': 9, 'sections': rows})

    async def get_status(self, request: web.Request) -> web.Response:
        return web.json_response({'leader': 'c1', 'revision': 12, 'entries': self.entries})

    async def post_change(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.received_changes.append(body)
        if self.remaining_timeouts:
            self.remaining_timeouts -= 1
            return web.json_response({'error': 'no answer in time'}, status=504)
        current = self.sections[body['section']]
        version = current['version']
        if body['base_version'] != version:
            conflict = {'outcome': 'conflict', 'version': version, 'diff': '-a'}
            return web.json_response(conflict, status=409)
        current['version'] = version + 1
        return web.json_response({'version': version + 1, 'revision': 12})


@pytest.fixture
def control():
    """A fake control process that serves HTTP in its own thread."""
    fake_control = _FakeControl()
    application = web.Application()
    application.add_routes(
        [
            web.get('/v1/document', fake_control.get_document),
            web.get('/v1/status', fake_control.get_status),
            web.post('/v1/changes', fake_control.post_change),
        ],
    )
    loop = asyncio.new_event_loop()
    runner = web.AppRunner(application)
    loop.run_until_complete(runner.setup())
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        site = web.SockSite(runner, listener)
        loop.run_until_complete(site.start())
        fake_control.address = f'127.0.0.1:{listener.getsockname()[1]}'
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        yield fake_control
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.run_until_complete(runner.cleanup())
        loop.close()


def _run_command(control: _FakeControl, *arguments: str) -> int:
    # No process listens on the first server, so each command must fall back to the second.
    servers = ['--server', '127.0.0.1:1', '--server', control.address]
    argv = ArgvInput(['bergamotctl', *arguments, *servers])
    return int(build_application().run(argv))


def _edit_section(path: Path, section: str, body: object) -> None:
    document = yaml.safe_load(path.read_text())
    document['sections'][section]['body'] = body
    path.write_text(yaml.safe_dump(document))


@pytest.fixture
def document(control, tmp_path):
    """A document file that ``document get`` wrote, with its base copy."""
    path = tmp_path / 'document.yaml'
    assert _run_command(control, 'document', 'get', '--output', str(path)) == 0
    return path


def test_apply_sends_only_edited_sections(control, document):
    """Only edited sections are sent, so stale content never overwrites another team's section."""
    assert '# kept' in document.read_text()
    control.sections['app']['version'] = 3
    _edit_section(document, 'databases', {'groups': {'tickets': {'instances': 5}}})
    assert _run_command(control, 'apply', str(document)) == 0
    assert [change['section'] for change in control.received_changes] == ['databases']
    assert control.received_changes[0]['base_version'] == 4
    assert _run_command(control, 'apply', str(document)) == 0
    assert len(control.received_changes) == 1


def test_check_compares_with_the_version_in_force(control, document, capsys):
    """A group that a change drops no longer replaces its primary."""
    _edit_section(document, 'databases', {'groups': {'orders': {}}})
    assert _run_command(control, 'config', 'check', '--json', str(document)) == 0
    output = capsys.readouterr().out
    report = json.loads(output[output.index('{"file"') :])
    found = [(each['kind'], each['subject']) for each in report['differences']]
    assert found == [('removed', 'group tickets'), ('added', 'group orders')]


def test_conflict_keeps_base_version(control, document, capsys):
    """If two operators edit the same version, the second must not overwrite the first.

    A repeated apply keeps the old base version and is refused again.
    """
    control.sections['databases']['version'] = 5
    _edit_section(document, 'databases', {'groups': {}})
    for _ in range(2):
        assert _run_command(control, 'apply', str(document)) == 1
    assert {change['base_version'] for change in control.received_changes} == {4}
    assert 'current version: 5' in capsys.readouterr().err


def test_refused_base_version_is_not_stored(control, document):
    """A refused --base-version must not make a later apply without the option fail."""
    _edit_section(document, 'databases', {'groups': {}})
    base_options = ('--section', 'databases', '--base-version', '1')
    assert _run_command(control, 'apply', str(document), *base_options) == 1
    assert _run_command(control, 'apply', str(document)) == 0


def test_retry_after_timeout_reuses_change_id(control, document):
    """A retry after time-outs keeps the change ID, so control does not apply the change twice."""
    _edit_section(document, 'databases', {'groups': {}})
    control.remaining_timeouts = 100
    assert _run_command(control, 'apply', str(document)) == 3
    control.remaining_timeouts = 1
    assert _run_command(control, 'apply', str(document)) == 0
    assert len({change['change_id'] for change in control.received_changes}) == 1


def test_apply_requires_base_version(control, tmp_path):
    """Without a base copy, apply must not assume the newest version as the base."""
    path = tmp_path / 'new.yaml'
    sections = {'databases': {'kind': 'groups', 'body': {'groups': {}}}}
    path.write_text(json.dumps({'sections': sections}))
    assert _run_command(control, 'apply', str(path)) == 2
    assert not control.received_changes
    base_options = ('--section', 'databases', '--base-version', '4', '--change-id', 'c-7')
    assert _run_command(control, 'apply', str(path), *base_options) == 0
    assert control.received_changes[0]['change_id'] == 'c-7'


def test_wait_names_lagging_entries(control, capsys):
    """The error names each entry that still applies an older revision, and that revision."""
    assert _run_command(control, 'wait', '12', '--timeout', '0.1') == 1
    assert 'e1 (revision 9)' in capsys.readouterr().err
    assert _run_command(control, 'wait', '9') == 0


def test_unreachable_control_exit_status():
    """Scripts must be able to tell an unreachable control from a refused request."""
    argv = ArgvInput(['bergamotctl', 'status', '--server', '127.0.0.1:1'])
    assert build_application().run(argv) == 3
