"""Guards against lost, doubled and overwritten changes of the operator document."""

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


class _Control:
    """A control process with one document; it can lose its next answer."""

    def __init__(self) -> None:
        self.sections = {
            'databases': {'kind': 'groups', 'version': 4, 'body': 'groups:\n  tickets: {}\n'},
            'app': {'kind': 'policies', 'version': 2, 'body': '# kept\npolicies: []\n'},
        }
        self.changes: list[dict[str, object]] = []
        self.lost_answers = 0
        self.entries = [{'name': 'e1', 'revision': 9}, {'name': 'e2', 'revision': 12}]

    async def document(self, request: web.Request) -> web.Response:
        rows = [{'name': name, **section} for name, section in self.sections.items()]
        return web.json_response({'revision': 9, 'sections': rows})

    async def status(self, request: web.Request) -> web.Response:
        return web.json_response({'leader': 'c1', 'revision': 12, 'entries': self.entries})

    async def change(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.changes.append(body)
        if self.lost_answers:
            self.lost_answers -= 1
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
    """A control process on a thread of its own."""
    served = _Control()
    application = web.Application()
    application.add_routes(
        [
            web.get('/v1/document', served.document),
            web.get('/v1/status', served.status),
            web.post('/v1/changes', served.change),
        ],
    )
    loop = asyncio.new_event_loop()
    runner = web.AppRunner(application)
    loop.run_until_complete(runner.setup())
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        site = web.SockSite(runner, listener)
        loop.run_until_complete(site.start())
        served.address = f'127.0.0.1:{listener.getsockname()[1]}'
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        yield served
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.run_until_complete(runner.cleanup())
        loop.close()


def _run(control: _Control, *arguments: str) -> int:
    # The first server is closed, so each command has to try the next one.
    servers = ['--server', '127.0.0.1:1', '--server', control.address]
    argv = ArgvInput(['bergamotctl', *arguments, *servers])
    return int(build_application().run(argv))


def _edit(path: Path, section: str, body: object) -> None:
    document = yaml.safe_load(path.read_text())
    document['sections'][section]['body'] = body
    path.write_text(yaml.safe_dump(document))


@pytest.fixture
def document(control, tmp_path):
    """A document file that was read from control."""
    path = tmp_path / 'document.yaml'
    assert _run(control, 'document', 'get', '--output', str(path)) == 0
    return path


def test_apply_sends_only_edited_sections_with_the_version_that_was_read(control, document):
    """A section of another team must not be sent back with stale content."""
    assert '# kept' in document.read_text()
    control.sections['app']['version'] = 3
    _edit(document, 'databases', {'groups': {'tickets': {'instances': 5}}})
    assert _run(control, 'apply', str(document)) == 0
    assert [change['section'] for change in control.changes] == ['databases']
    assert control.changes[0]['base_version'] == 4
    assert _run(control, 'apply', str(document)) == 0
    assert len(control.changes) == 1


def test_a_conflict_is_refused_and_never_sent_with_a_newer_version(control, document, capsys):
    """Of two operators with one base version, the second must not overwrite the first."""
    control.sections['databases']['version'] = 5
    _edit(document, 'databases', {'groups': {}})
    for _ in range(2):
        assert _run(control, 'apply', str(document)) == 1
    assert {change['base_version'] for change in control.changes} == {4}
    assert 'current version: 5' in capsys.readouterr().err


def test_a_refused_base_version_is_not_kept(control, document):
    """A wrong --base-version must not make the next apply without it fail."""
    _edit(document, 'databases', {'groups': {}})
    stated = ('--section', 'databases', '--base-version', '1')
    assert _run(control, 'apply', str(document), *stated) == 1
    assert _run(control, 'apply', str(document)) == 0


def test_a_resend_after_a_lost_answer_has_the_same_identifier(control, document):
    """A change whose answer was lost must not be applied a second time."""
    _edit(document, 'databases', {'groups': {}})
    control.lost_answers = 100
    assert _run(control, 'apply', str(document)) == 3
    control.lost_answers = 1
    assert _run(control, 'apply', str(document)) == 0
    assert len({change['change_id'] for change in control.changes}) == 1


def test_apply_without_a_base_version_is_a_usage_error(control, tmp_path):
    """The newest version must never be taken silently as the base."""
    path = tmp_path / 'new.yaml'
    sections = {'databases': {'kind': 'groups', 'body': {'groups': {}}}}
    path.write_text(json.dumps({'sections': sections}))
    assert _run(control, 'apply', str(path)) == 2
    assert not control.changes
    stated = ('--section', 'databases', '--base-version', '4', '--change-id', 'c-7')
    assert _run(control, 'apply', str(path), *stated) == 0
    assert control.changes[0]['change_id'] == 'c-7'


def test_wait_names_the_entries_that_lag(control, capsys):
    """An operator must know which entry still applies the old configuration."""
    assert _run(control, 'wait', '12', '--timeout', '0.1') == 1
    assert 'e1 (revision 9)' in capsys.readouterr().err
    assert _run(control, 'wait', '9') == 0


def test_an_unreachable_control_has_its_own_exit_status():
    """A script must tell a refusal from a control that does not answer."""
    argv = ArgvInput(['bergamotctl', 'status', '--server', '127.0.0.1:1'])
    assert build_application().run(argv) == 3
