"""Guards against decisions that operators cannot find in the log."""

import json
import logging

import pytest

from bergamotcart.actions import Decision
from bergamotcart_daemon.logs import DecisionLog, configure_logging

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


def test_a_decision_is_one_json_line_with_its_fields(capsys):
    """A line that is no JSON, or that lacks a field, is lost to the operators' tools."""
    configure_logging('info', 'entry', 'e1')
    DecisionLog().write(_DECISION)
    fields = json.loads(capsys.readouterr().err)
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


def test_no_decision_is_written_below_the_level(capsys):
    """The level that an operator sets must hold for decisions too."""
    configure_logging('warning', 'entry', 'e1')
    DecisionLog().write(_DECISION)
    logging.getLogger('any').warning('still here')
    assert len(capsys.readouterr().err.splitlines()) == 1
