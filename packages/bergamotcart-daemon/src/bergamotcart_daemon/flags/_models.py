"""Validated models of the settings of both roles."""

from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BeforeValidator, Field, SecretStr, field_validator
from pydantic_core.core_schema import ValidationInfo
from pydantic_settings import BaseSettings, NoDecode, SettingsConfigDict

from bergamotcart.resources import MAX_MESSAGE_BYTES, ResourceLimits
from bergamotcart_daemon import settings
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.flags._flags import ENVIRONMENT_PREFIX

_MIN_SESSION_KEY_BYTES = 16


def _check_address(text: str) -> str:
    return str(Address.parse(text))


def _parse_pairs(given: object) -> object:
    # An environment variable holds all pairs in one string; a repeated flag gives a list.
    texts = given.split(',') if isinstance(given, str) else given
    if not isinstance(texts, (list, tuple)):
        return given
    pairs: dict[str, str] = {}
    for text in texts:
        name, _, paired_value = str(text).strip().partition('=')
        if not name or not paired_value:
            raise ValueError(f'{text!r} does not have the form NAME=VALUE')
        if name in pairs:
            raise ValueError(f'{name!r} is given twice')
        pairs[name] = paired_value
    return pairs


def _check_advertised_addresses(translations: dict[str, str]) -> dict[str, str]:
    return {_check_address(advertised): reachable for advertised, reachable in translations.items()}


Name = Annotated[str, Field(pattern='^[A-Za-z0-9_.-]{1,64}$')]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
AddressText = Annotated[str, AfterValidator(_check_address)]
NameMap = Annotated[dict[Name, Name], NoDecode, BeforeValidator(_parse_pairs)]
AddressMap = Annotated[dict[Name, AddressText], NoDecode, BeforeValidator(_parse_pairs)]
TranslationMap = Annotated[
    dict[str, AddressText],
    NoDecode,
    BeforeValidator(_parse_pairs),
    AfterValidator(_check_advertised_addresses),
]


class CommonModel(BaseSettings):
    """Validates the settings of both roles; times are in seconds."""

    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX,
        env_ignore_empty=True,
        extra='forbid',
        hide_input_in_errors=True,
    )

    role: settings.Role
    name: Name
    availability_zone: Name
    control_domain: Name = 'default'
    peer_listen: AddressText
    http_listen: AddressText
    peer_advertise: AddressText | None = None
    control_member: Annotated[AddressMap, Field(min_length=1)]
    operator_address: AddressMap = Field(default_factory=dict)
    address_translation: TranslationMap = Field(default_factory=dict)
    silence_timeout: Seconds = 0.8
    announce_to: settings.AnnouncementPlace = settings.AnnouncementPlace.entry
    target_expiry: Seconds = 3.0
    memory_limit_mb: Annotated[int, Field(ge=1)] | None = None
    descriptor_limit: Annotated[int, Field(ge=1)] | None = None
    message_timeout: Seconds = ResourceLimits().message_timeout_s
    answer_timeout: Seconds = ResourceLimits().answer_timeout_s
    startup_timeout: Seconds = ResourceLimits().startup_timeout_s
    max_message_bytes: Annotated[int, Field(ge=1, le=MAX_MESSAGE_BYTES)] = MAX_MESSAGE_BYTES
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'

    def build_common(self, excluded: set[str]) -> dict[str, Any]:
        """Return the checked settings by name.

        :param excluded: fields that the caller adds itself.
        """
        given = self.model_dump(exclude={'role', *excluded})
        given['limits'] = ResourceLimits(
            memory_mb=given.pop('memory_limit_mb'),
            max_fds=given.pop('descriptor_limit'),
            message_timeout_s=given.pop('message_timeout'),
            answer_timeout_s=given.pop('answer_timeout'),
            startup_timeout_s=given.pop('startup_timeout'),
            max_message_bytes=given.pop('max_message_bytes'),
        )
        return given


class EntryModel(CommonModel):
    """Validates the settings of an entry."""

    mysql_listen: AddressText
    session_key: SecretStr
    zone_region: NameMap = Field(default_factory=dict)
    connect_timeout: Seconds = 0.5
    statement_timeout: Seconds = 30.0
    drain_notice: Annotated[float, Field(ge=0, le=86_400)] = 0.0
    drain_limit: Seconds | None = None

    @field_validator('session_key')
    @classmethod
    def check_session_key(cls, key: SecretStr) -> SecretStr:
        """Reject a key that is too short to authenticate session tokens."""
        if len(key.get_secret_value().encode()) < _MIN_SESSION_KEY_BYTES:
            raise ValueError(f'must have at least {_MIN_SESSION_KEY_BYTES} bytes')
        return key

    def build(self) -> settings.MysqlEntrySettings:
        """Return the checked settings."""
        given = self.build_common({'session_key'})
        key = self.session_key.get_secret_value().encode()
        return settings.MysqlEntrySettings(session_key=key, **given)


class ControlModel(CommonModel):
    """Validates the settings of a control member."""

    control_zone: Annotated[NameMap, Field(validate_default=True)] = Field(default_factory=dict)
    data_folder: Path
    found_domain: bool = True
    tolerated_losses: Annotated[int, Field(ge=0, le=10)] | None = None
    cross_zone_cost_ms: Annotated[float, Field(ge=0, le=60_000)] | None = None
    admin_token: Annotated[SecretStr, Field(min_length=1)]
    lease_duration: Seconds = 1.0
    lease_renewal: Seconds = 0.25
    leader_heartbeat: Seconds = 0.1
    election_timeout_min: Seconds = 0.4
    election_timeout_max: Seconds = 0.8
    cap_window: Seconds = 5.0
    cap_overage: Annotated[float, Field(ge=0, le=10)] = 0.1
    cap_slack: Annotated[int, Field(ge=0, le=1_000_000)] = 20

    @field_validator('control_zone')
    @classmethod
    def check_zones(cls, zones: dict[str, str], info: ValidationInfo) -> dict[str, str]:
        """Require one availability zone for each initial control member."""
        members = info.data.get('control_member', {})
        missing = sorted(set(members) - set(zones))
        unknown = sorted(set(zones) - set(members))
        if members and (missing or unknown):
            raise ValueError(
                f'control members without zone: {missing}, zones of unknown members: {unknown}'
            )
        return zones

    @field_validator('lease_renewal')
    @classmethod
    def check_renewal(cls, renewal: float, info: ValidationInfo) -> float:
        """Require that a lease is renewed before it ends."""
        if renewal >= info.data.get('lease_duration', float('inf')):
            raise ValueError(f'{renewal} s is not shorter than --lease-duration')
        return renewal

    @field_validator('election_timeout_min')
    @classmethod
    def check_election_min(cls, minimum: float, info: ValidationInfo) -> float:
        """Require that the heartbeat interval is shorter than the election timeout."""
        if minimum <= info.data.get('leader_heartbeat', 0):
            raise ValueError(f'{minimum} s is not longer than --leader-heartbeat')
        return minimum

    @field_validator('election_timeout_max')
    @classmethod
    def check_election_max(cls, maximum: float, info: ValidationInfo) -> float:
        """Require a non-empty range of election timeouts."""
        if maximum <= info.data.get('election_timeout_min', 0):
            raise ValueError(f'{maximum} s is not longer than --election-timeout-min')
        return maximum

    def build(self) -> settings.ControlSettings:
        """Return the checked settings."""
        given = self.build_common({'admin_token'})
        return settings.ControlSettings(
            admin_token=self.admin_token.get_secret_value(),
            **given,
        )
