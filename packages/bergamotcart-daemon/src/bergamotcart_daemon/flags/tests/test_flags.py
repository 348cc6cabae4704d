"""Tests that invalid settings prevent the start and that all errors are reported."""

import re
from types import MappingProxyType

import pytest

from bergamotcart_daemon.flags import (
    FLAGS,
    ControlModel,
    EntryModel,
    SettingsError,
    load_settings,
)

_COMMON = MappingProxyType(
    {
        'name': 'n1',
        'availability_zone': 'kigali',
        'peer_listen': '127.0.0.1:7000',
        'http_listen': '127.0.0.1:7001',
        'control_member': ['c1=127.0.0.1:7002', 'c2=127.0.0.1:7003'],
    },
)
_ENTRY = _COMMON | {
    'role': 'entry',
    'mysql_listen': '127.0.0.1:7004',
    'session_key': 'k' * 16,
}
_CONTROL = _COMMON | {
    'role': 'control',
    'control_zone': ['c1=kigali', 'c2=huye'],
    'data_folder': 'data',
    'admin_token': 'secret',
}


@pytest.fixture(autouse=True)
def _clean_environment(monkeypatch):
    for flag in FLAGS:
        monkeypatch.delenv(flag.environment_variable, raising=False)


def test_flag_overrides_environment_variable(monkeypatch):
    """A stale environment variable must not override the command line."""
    monkeypatch.setenv('BERGAMOTCART_NAME', 'other')
    monkeypatch.setenv('BERGAMOTCART_OPERATOR_ADDRESS', 'c1=127.0.0.1:1,c2=127.0.0.1:2')
    settings = load_settings(_ENTRY)
    assert settings.name == 'n1'
    assert settings.operator_address == {'c1': '127.0.0.1:1', 'c2': '127.0.0.1:2'}
    assert settings.advertised_address == '127.0.0.1:7000'


def test_flags_match_settings():
    """A setting without a flag could not be given on the command line."""
    fields = EntryModel.model_fields | ControlModel.model_fields
    assert {flag.field for flag in FLAGS} == set(fields)


@pytest.mark.parametrize(
    ('flags', 'expected'),
    [
        (
            {'role': 'entry', 'name': 'a b', 'peer_listen': '7000'},
            ('--name', '--peer-listen', '--http-listen', '--control-member', '--session-key'),
        ),
        (
            _ENTRY | {'session_key': 'tiny-secret', 'log_level': 'loud'},
            ('--session-key', '--log-level'),
        ),
        (_ENTRY | {'data_folder': 'data'}, ('--data-folder',)),
        (_CONTROL | {'control_zone': ['c1=kigali']}, ('--control-zone',)),
        (
            _CONTROL | {'lease_renewal': '1', 'election_timeout_max': '0.4'},
            ('--lease-renewal', '--election-timeout-max'),
        ),
        (_CONTROL | {'control_member': ['c1=x', 'c1=y']}, ('--control-member',)),
        ({}, ('--role', '--name')),
    ],
)
def test_all_errors_are_listed_with_their_flags(flags, expected):
    """One start must report all errors, not just the first one."""
    assert _find_invalid_flags(flags) >= set(expected)


def _find_invalid_flags(flags: dict[str, object]) -> set[str]:
    try:
        load_settings(flags)
    except SettingsError as error:
        problems = error.problems
    assert 'tiny-secret' not in ''.join(problems)
    return {re.split(r'[:\[]', problem)[0] for problem in problems}
