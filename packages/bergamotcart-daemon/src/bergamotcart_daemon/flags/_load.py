"""Loading of settings, which reports all errors at once."""

from collections.abc import Mapping
from types import MappingProxyType

from pydantic import ValidationError
from pydantic_core import ErrorDetails
from pydantic_settings import BaseSettings, SettingsConfigDict

from bergamotcart_daemon.flags._flags import ENVIRONMENT_PREFIX, FLAGS
from bergamotcart_daemon.flags._models import CommonModel, ControlModel, EntryModel
from bergamotcart_daemon.settings import ControlSettings, MysqlEntrySettings, Role

_MODELS: Mapping[Role, type[CommonModel]] = MappingProxyType(
    {Role.entry: EntryModel, Role.control: ControlModel},
)
_ENVIRONMENT_VARIABLES: Mapping[str, str] = MappingProxyType(
    {flag.field: flag.environment_variable for flag in FLAGS}
)


class SettingsError(ValueError):
    """The settings are invalid; ``problems`` has one line for each error."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        """Store the problems found."""
        super().__init__('\n'.join(problems))
        self.problems = problems


class _RoleModel(BaseSettings):
    model_config = SettingsConfigDict(env_prefix=ENVIRONMENT_PREFIX, env_ignore_empty=True)

    role: Role


def load_settings(flags: Mapping[str, object]) -> MysqlEntrySettings | ControlSettings:
    """Load settings from flags and environment variables; a flag overrides its variable.

    :param flags: values of the given flags by field name.
    :returns: the settings of the chosen role.
    :raises SettingsError: if settings are invalid; it lists every error with its flag.
    """
    role = _read_role(flags)
    try:
        return _MODELS.get(role, CommonModel)(**flags).build()
    except ValidationError as error:
        details = error.errors(include_url=False)
    raise SettingsError(tuple(_format_problem(detail, role) for detail in details))


def _read_role(flags: Mapping[str, object]) -> Role | None:
    given = {'role': flags['role']} if 'role' in flags else {}
    try:
        return _RoleModel(**given).role
    except ValidationError:
        return None


def _format_problem(detail: ErrorDetails, role: Role | None) -> str:
    field = str(detail['loc'][0])
    flag = f'--{field.replace("_", "-")}'
    if detail['type'] == 'missing':
        return f'{flag}: required (or set {_ENVIRONMENT_VARIABLES[field]})'
    if detail['type'] == 'extra_forbidden':
        return f'{flag}: not a setting of the role {role}'
    path = ''.join(f'[{part}]' for part in detail['loc'][1:])
    message = detail['msg'].removeprefix('Value error, ')
    return f'{flag}{path}: {message}'
