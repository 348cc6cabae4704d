"""Tests of the decision log and of the rate limit of log lines."""

import asyncio
import json
import logging
import os

import msgspec
import pytest

from bergamotcart.actions import Decision
from bergamotcart_daemon.logs import DecisionLog, configure_logging
from bergamotcart_daemon.logs._handler import RateLimitedHandler

_DECISION = Decision(
    system='routing',
    action='send_to_replica',
    reason='floor_reached',
    request=7,
    group='tickets',
)


@pytest.fixture(autouse=True)
def _restore_logging():
    root = logging.getLogger()
    handlers = tuple(root.handlers)
    yield
    logging.basicConfig(level=logging.WARNING, handlers=handlers, force=True)


def test_decision_is_written_as_json_line(capfd):
    """Operators' tools cannot process a line that is not JSON or lacks a field."""
    configure_logging('info', 'entry', 'e1')
    DecisionLog().write(_DECISION)
    fields = json.loads(capfd.readouterr().err)
    fields.pop('timestamp')
    assert fields == {
        'level': 'INFO',
        'logger': 'bergamotcart.decisions',
        'message': 'decision',
        'role': 'entry',
        'node': 'e1',
        'system': 'routing',
        'action': 'send_to_replica',
        'reason': 'floor_reached',
        'request': 7,
        'group': 'tickets',
    }


def test_decisions_respect_log_level(capfd):
    """The configured log level must also apply to decisions."""
    configure_logging('warning', 'entry', 'e1')
    DecisionLog().write(_DECISION)
    logging.getLogger('any').warning('still here')
    assert len(capfd.readouterr().err.splitlines()) == 1


def _make_record(level: int, text: str) -> logging.LogRecord:
    return logging.LogRecord('test', level, __file__, 1, text, (), None)


def test_excess_lines_are_dropped_and_counted():
    """Logging must not use the CPU time that requests need, and dropped lines must be reported."""
    read_descriptor, write_descriptor = os.pipe()
    handler = RateLimitedHandler(write_descriptor, lines_per_s=0, burst_lines=3)
    for number in range(10):
        handler.emit(_make_record(logging.INFO, f'line {number}'))
    handler.emit(_make_record(logging.ERROR, 'an error'))
    os.close(write_descriptor)
    with open(read_descriptor) as log:
        lines = log.read().splitlines()
    assert lines == ['line 0', 'line 1', 'line 2', '7 log lines dropped', 'an error']


def test_stalled_reader_does_not_block_or_split_lines():
    """A process must not block because its log is not read."""
    read_descriptor, write_descriptor = os.pipe()
    handler = RateLimitedHandler(write_descriptor, lines_per_s=1e9, burst_lines=1e9)
    for _ in range(3000):
        handler.emit(_make_record(logging.INFO, 'x' * 99))
    assert handler.dropped_lines > 0
    first_part = os.read(read_descriptor, 1_000_000)
    handler.emit(_make_record(logging.INFO, 'last'))
    os.close(write_descriptor)
    with open(read_descriptor, 'rb') as log:
        lines = (first_part + log.read()).decode().splitlines()
    reports = [line for line in lines if line.endswith(' log lines dropped')]
    written = [line for line in lines if line not in reports]
    assert set(written[:-1]) == {'x' * 99}
    assert written[-1] == 'last'
    # Each line is either written completely or counted as dropped.
    dropped_lines = sum(int(report.split(' ')[0]) for report in reports)
    assert len(written) + dropped_lines == 3001


def test_text_that_cannot_be_encoded_is_escaped(capfd):
    """A caller whose name is not valid UTF-8 caused a traceback instead of each of its lines."""
    configure_logging('info', 'entry', 'e1')
    caller = b'caf\xe9'.decode('utf-8', 'surrogateescape')
    DecisionLog().write(msgspec.structs.replace(_DECISION, caller=caller, detail=caller))
    logging.getLogger('bergamotcart').warning('unknown database %s', caller)
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    assert lines[0]['caller'] == lines[0]['detail'] == r'caf\udce9'
    assert lines[1]['message'] == r'unknown database caf\udce9'


def test_frequent_decisions_do_not_hide_others(capfd):
    """Refusals of a fleet's lease requests have filled the logs of followers."""
    configure_logging('info', 'control', 'c1')
    asyncio.run(_refuse_many_leases())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    assert [line['message'] for line in lines] == ['decision', 'decisions', 'decisions']
    assert lines[1]['reason'] == 'not_leader'
    assert (lines[1]['count'], lines[1]['distinct']) == (3000, 800)
    assert lines[1]['detail'] == 'e0, e1, e10'
    assert (lines[2]['reason'], lines[2]['count']) == ('no_quorum', 1)


async def _refuse_many_leases() -> None:
    log = DecisionLog()
    refused = Decision(
        system='leases', action='refuse_lease', reason='not_leader', is_frequent=True
    )
    for number in range(3000):
        log.write(msgspec.structs.replace(refused, detail=f'e{number % 800}'))
    log.write(msgspec.structs.replace(refused, reason='no_quorum', detail='e1'))
    log.write(_DECISION)
    await asyncio.sleep(1.1)
