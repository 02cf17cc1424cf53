"""Declaration of the entry daemon's settings: type, default, unit and check.

The table ``SETTINGS`` is the single source for the command line, for the environment
variables and for the table in ``docs/settings.md``.
"""

from collections.abc import Callable
from dataclasses import dataclass

from vanillareach.utils import parse_address

ENVIRONMENT_PREFIX = "VANILLAREACH_"


class SettingsError(ValueError):
    """A setting is invalid; the message names its flag or variable."""


def check_address(value):
    """Return an error message unless `value` is ``host:port``."""
    try:
        parse_address(value)
    except ValueError as error:
        return str(error)
    return None


def check_addresses(value):
    """Return an error message unless `value` is a comma-separated address list."""
    for item in filter(None, value.split(",")):
        error = check_address(item)
        if error:
            return error
    return None


def check_one_of(*choices):
    """Return a check that accepts only the values in `choices`."""

    def check(value):
        if value in choices:
            return None
        return f"{value!r} is not one of {', '.join(choices)}"

    return check


def check_between(low, high):
    """Return a check that accepts numbers from `low` to `high`."""

    def check(value):
        if low <= value <= high:
            return None
        return f"{value} is not from {low} to {high}"

    return check


def check_not_empty(value):
    """Return an error message if `value` is empty."""
    return None if value else "a value is needed"


@dataclass(slots=True, frozen=True)
class Setting:
    """Declaration of one setting.

    Attributes
    ----------
    name : str
    type : type
    default : object
    unit : str
        Unit or format of the value, empty if there is none.
    help : str
    check : callable
        Takes a value and returns an error message, or None if the value is valid.
    """

    name: str
    type: type
    default: object
    unit: str
    help: str
    check: Callable

    @property
    def flag(self):
        """Command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """Environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


SETTINGS = (
    Setting(
        "name",
        str,
        "entry-1",
        "",
        "Name of this instance, unique in the fleet.",
        check_not_empty,
    ),
    Setting(
        "domain",
        str,
        "domain-a",
        "",
        "Failure domain of this instance.",
        check_not_empty,
    ),
    Setting(
        "listen",
        str,
        "127.0.0.1:8100",
        "host:port",
        "Address for callers and operators.",
        check_address,
    ),
    Setting(
        "peer_listen",
        str,
        "127.0.0.1:8200",
        "host:port",
        "Address for other instances.",
        check_address,
    ),
    Setting(
        "peer_seeds",
        str,
        "",
        "host:port,...",
        "Peer addresses to contact at the start.",
        check_addresses,
    ),
    Setting(
        "peer_key",
        str,
        "development",
        "",
        "Shared key that authenticates peers.",
        check_not_empty,
    ),
    Setting(
        "platform",
        str,
        "127.0.0.1:8001",
        "host:port",
        "Address of the platform's object API.",
        check_address,
    ),
    Setting(
        "platform_calls_per_second",
        float,
        20.0,
        "calls/s",
        "Call budget of this instance at the platform.",
        check_between(0.1, 10_000),
    ),
    Setting(
        "platform_call_limit_ms",
        int,
        2000,
        "ms",
        "Time limit of one call to the platform.",
        check_between(10, 60_000),
    ),
    Setting(
        "operator_token_sha256",
        str,
        "",
        "hex",
        "SHA-256 of the operators' token; empty refuses operators.",
        lambda value: None if len(value) in (0, 64) else "64 hex digits are needed",
    ),
    Setting(
        "connect_limit_ms",
        int,
        1000,
        "ms",
        "Time limit for a connection to an endpoint.",
        check_between(1, 60_000),
    ),
    Setting(
        "load_interval_ms",
        int,
        1000,
        "ms",
        "Interval between load reports read from engines.",
        check_between(50, 60_000),
    ),
    Setting(
        "ledger_shards",
        int,
        128,
        "objects",
        "Number of objects that hold the claims of keyed calls.",
        check_between(1, 4096),
    ),
    Setting(
        "max_body_bytes",
        int,
        16 * 1024 * 1024,
        "bytes",
        "Largest request body.",
        check_between(1024, 1 << 30),
    ),
    Setting(
        "stop_limit_s",
        int,
        600,
        "s",
        "Time that running requests may take after a stop.",
        check_between(1, 86_400),
    ),
    Setting(
        "trace_file",
        str,
        "",
        "path",
        "File for spans as JSON lines; '-' for standard output.",
        lambda value: None,
    ),
    Setting(
        "log_format",
        str,
        "console",
        "",
        "Shape of log lines: console or json.",
        check_one_of("console", "json"),
    ),
    Setting(
        "log_level",
        str,
        "info",
        "",
        "Least severe log level.",
        check_one_of("debug", "info", "warning", "error"),
    ),
)
SETTINGS_BY_NAME = {setting.name: setting for setting in SETTINGS}


class CheckedSettings:
    """Validated values of the settings in a table, one attribute each.

    Parameters
    ----------
    **values
        Values by setting name; a missing one takes its default.

    Raises
    ------
    SettingsError
        If a value is of the wrong type or fails its check.
    """

    __slots__ = ()
    TABLE = ()

    def __init__(self, **values):
        known = {setting.name for setting in self.TABLE}
        for name in values:
            if name not in known:
                raise SettingsError(f"unknown setting {name}")
        for setting in self.TABLE:
            value = values.get(setting.name, setting.default)
            if not isinstance(value, setting.type):
                kind = setting.type.__name__
                raise SettingsError(f"{setting.flag} must be of type {kind}")
            error = setting.check(value)
            if error:
                raise SettingsError(f"{setting.flag}: {error}")
            setattr(self, setting.name, value)

    @classmethod
    def from_environment(cls, environment):
        """Return settings that are read from environment variables only.

        Parameters
        ----------
        environment : mapping of str to str
        """
        values = {}
        for setting in cls.TABLE:
            text = environment.get(setting.variable)
            if text is None:
                continue
            try:
                values[setting.name] = setting.type(text)
            except ValueError as error:
                raise SettingsError(f"{setting.variable}: {error}") from error
        return cls(**values)


class Settings(CheckedSettings):
    """Settings of the entry daemon."""

    __slots__ = tuple(SETTINGS_BY_NAME)
    TABLE = SETTINGS


def settings_table(table=SETTINGS):
    """Return the Markdown table of settings for the documentation."""
    lines = [
        "| flag | variable | type | unit | default | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for setting in table:
        lines.append(
            f"| `{setting.flag}` | `{setting.variable}` | {setting.type.__name__} "
            f"| {setting.unit} | `{setting.default}` | {setting.help} |"
        )
    return "\n".join(lines) + "\n"
