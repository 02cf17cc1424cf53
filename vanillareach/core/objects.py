"""Typed configuration objects: services, templates, teams and endpoints.

Operators write specifications as JSON or TOML documents, which are converted here into
typed structs. Unknown fields are rejected, so that a misspelt one is not ignored.
"""

import re
from enum import StrEnum

import msgspec

NAME_PATTERN = "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
MAX_TIME_LIMIT_MS = 24 * 3600 * 1000
Name = msgspec.Meta(pattern=NAME_PATTERN)


class ObjectError(ValueError):
    """A configuration document is not valid; the message names the field."""


class ServiceKind(StrEnum):
    """Protocol of a service: an inference engine, or plain HTTP calls."""

    ENGINE = "engine"
    PLAIN = "plain"


class ParameterType(StrEnum):
    """Type of a template parameter."""

    INTEGER = "integer"
    NUMBER = "number"
    TEXT = "text"
    FLAG = "flag"


class Spec(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all specifications."""


class Operation(Spec, kw_only=True, frozen=True):
    """Rule for calls to one path prefix of a plain service."""

    method: str
    path: str
    repeatable: bool = False


class ServiceSpec(Spec, kw_only=True, frozen=True):
    """A pool of engines with one model, or a plain service.

    Attributes
    ----------
    name : str
    kind : ServiceKind
    model : str or None
        Model that the engines serve; None for a plain service.
    time_limit_ms : int
        Time limit of a call.
    gap_limit_ms : int
        Idle timeout of a response, after which a further attempt is made if the request
        may be repeated. The silent one goes on.
    operations : tuple of Operation
        Rules for the calls to a plain service.
    engines_check_fencing : bool
        Whether the engines reject orders with an old fencing number.
    version : str
        Version to which the engines are brought.
    adapters : tuple of str
        Adapters that the engines are made to load.
    """

    name: str
    kind: ServiceKind
    model: str | None = None
    time_limit_ms: int = 600_000
    gap_limit_ms: int = 30_000
    operations: tuple[Operation, ...] = ()
    engines_check_fencing: bool = False
    version: str = "1"
    adapters: tuple[str, ...] = ()


class Parameter(Spec, kw_only=True, frozen=True):
    """Declaration of one template parameter."""

    type: ParameterType
    default: int | float | str | bool | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    unit: str = ""


class TemplateSpec(Spec, kw_only=True, frozen=True):
    """A template that renders a team's limits from typed parameters.

    Attributes
    ----------
    name : str
    parameters : dict of str to Parameter
    services : tuple of str
        Services that teams of this template may use.
    limits : dict
        Values of `TeamLimits` fields; ``${name}`` stands for a parameter's value.
    """

    name: str
    parameters: dict[str, Parameter] = {}
    services: tuple[str, ...]
    limits: dict[str, int | float | str | bool] = {}


class TeamSpec(Spec, kw_only=True, frozen=True):
    """A team: its template, its parameter values and its hashed tokens."""

    name: str
    template: str
    token_sha256: tuple[str, ...]
    parameters: dict[str, int | float | str | bool] = {}


class TeamLimits(Spec, kw_only=True, frozen=True):
    """Limits rendered for one team.

    Rate and requests in flight apply to the fleet, `tokens_in_flight` to each instance.
    """

    requests_per_second: float = 50.0
    requests_in_flight: int = 100
    tokens_in_flight: int = 4_000_000
    time_limit_ms: int = 600_000
    priority: int = 0
    weight: float = 1.0


class EndpointSpec(Spec, kw_only=True, frozen=True):
    """An endpoint as the platform lists it."""

    name: str
    service: str
    address: str
    domain: str
    leaving: bool = False
    kv_capacity_tokens: int = 400_000


class InstanceSpec(Spec, kw_only=True, frozen=True):
    """An instance of the serving layer as the platform lists it."""

    name: str
    domain: str
    peer_address: str
    leaving: bool = False


SPEC_TYPES_BY_KIND = {
    "service": ServiceSpec,
    "template": TemplateSpec,
    "team": TeamSpec,
}
CONFIGURATION_KINDS = tuple(SPEC_TYPES_BY_KIND)
PARAMETER_PYTHON_TYPES = {
    ParameterType.INTEGER: (int,),
    ParameterType.NUMBER: (int, float),
    ParameterType.TEXT: (str,),
    ParameterType.FLAG: (bool,),
}
_PLACEHOLDER = re.compile(r"\$\{([a-z][a-z0-9_]*)\}")
_NAME = re.compile(NAME_PATTERN)
_SHA256 = re.compile("^[0-9a-f]{64}$")


def parse_spec(kind, document):
    """Convert a document to its typed specification and validate it.

    References to other objects are not checked here.

    Parameters
    ----------
    kind : {"service", "template", "team"}
        Kind of configuration object.
    document : dict
        Decoded JSON or TOML.

    Returns
    -------
    Spec
        Typed specification.

    Raises
    ------
    ObjectError
        If a field is missing, unknown, of the wrong type or out of range.
    """
    if kind not in SPEC_TYPES_BY_KIND:
        raise ObjectError(f"unknown kind {kind!r}: expected one of service, ...")
    try:
        spec = msgspec.convert(document, SPEC_TYPES_BY_KIND[kind])
    except msgspec.ValidationError as error:
        raise ObjectError(f"{kind}: {error}") from error
    if not _NAME.match(spec.name):
        raise ObjectError(f"{kind}: name {spec.name!r} must match {NAME_PATTERN}")
    _CHECKS_BY_KIND[kind](spec)
    return spec


def _check_service(spec):
    if spec.kind is ServiceKind.ENGINE and not spec.model:
        raise ObjectError(f"service {spec.name}: an engine service needs a model")
    _check_range("service", spec.name, "time_limit_ms", spec.time_limit_ms)
    _check_range("service", spec.name, "gap_limit_ms", spec.gap_limit_ms)


def _check_template(spec):
    for name, parameter in spec.parameters.items():
        if parameter.default is not None:
            _check_value(f"template {spec.name}", name, parameter, parameter.default)
    for field, value in spec.limits.items():
        if field not in TeamLimits.__struct_fields__:
            raise ObjectError(f"template {spec.name}: unknown limit {field!r}")
        for name in _placeholders(value):
            if name not in spec.parameters:
                raise ObjectError(
                    f"template {spec.name}: limit {field} uses the undeclared "
                    f"parameter {name!r}"
                )


def _check_team(spec):
    if not spec.token_sha256:
        raise ObjectError(f"team {spec.name}: at least one token_sha256 is needed")
    for digest in spec.token_sha256:
        if not _SHA256.match(digest):
            raise ObjectError(f"team {spec.name}: token_sha256 must be 64 hex digits")


_CHECKS_BY_KIND = {
    "service": _check_service,
    "template": _check_template,
    "team": _check_team,
}


def _check_range(kind, name, field, value):
    if not 1 <= value <= MAX_TIME_LIMIT_MS:
        raise ObjectError(
            f"{kind} {name}: {field} must be from 1 to {MAX_TIME_LIMIT_MS}, got {value}"
        )


def _placeholders(value):
    return _PLACEHOLDER.findall(value) if isinstance(value, str) else ()


def _check_value(where, name, parameter, value):
    expected = PARAMETER_PYTHON_TYPES[parameter.type]
    is_flag = isinstance(value, bool)
    if not isinstance(value, expected) or (
        is_flag and parameter.type is not ParameterType.FLAG
    ):
        raise ObjectError(
            f"{where}: parameter {name} must be of type {parameter.type}, got {value!r}"
        )
    if parameter.minimum is not None and value < parameter.minimum:
        raise ObjectError(f"{where}: parameter {name} is below {parameter.minimum}")
    if parameter.maximum is not None and value > parameter.maximum:
        raise ObjectError(f"{where}: parameter {name} is above {parameter.maximum}")
    if parameter.choices and value not in parameter.choices:
        raise ObjectError(f"{where}: parameter {name} must be one of the choices")


def resolve_parameters(template, team):
    """Return the value of every template parameter for one team, by name.

    Raises
    ------
    ObjectError
        If a value is missing, unknown, of the wrong type or out of range.
    """
    where = f"team {team.name}"
    for name in team.parameters:
        if name not in template.parameters:
            raise ObjectError(f"{where}: template {template.name} has no {name!r}")
    values_by_name = {}
    for name, parameter in template.parameters.items():
        value = team.parameters.get(name, parameter.default)
        if value is None:
            raise ObjectError(f"{where}: parameter {name} is required")
        _check_value(where, name, parameter, value)
        values_by_name[name] = value
    return values_by_name


def render_limits(template, team):
    """Render the limits of `team` from `template`.

    Returns
    -------
    TeamLimits
        Limits, all positive but the priority.

    Raises
    ------
    ObjectError
        If a parameter or a rendered limit is not valid.
    """
    values_by_name = resolve_parameters(template, team)
    document = {
        field: _substitute(value, values_by_name)
        for field, value in template.limits.items()
    }
    try:
        limits = msgspec.convert(document, TeamLimits)
    except msgspec.ValidationError as error:
        raise ObjectError(f"team {team.name}: {error}") from error
    for field in TeamLimits.__struct_fields__:
        if field != "priority" and getattr(limits, field) <= 0:
            raise ObjectError(f"team {team.name}: limit {field} must be positive")
    return limits


def _substitute(value, values_by_name):
    names = _placeholders(value)
    if not names:
        return value
    if value == f"${{{names[0]}}}":
        return values_by_name[names[0]]
    return _PLACEHOLDER.sub(lambda match: str(values_by_name[match[1]]), value)
