"""Configuration of an instance: versioned objects and indexes over them.

The version of an object only ever rises, whether an update comes from a read of the
platform, a watch or a peer. A deletion is stored as a tombstone with a version of its
own, so that an old copy cannot restore the object.
"""

import msgspec

from vanillareach.core.hashing import hash64
from vanillareach.core.objects import (
    CONFIGURATION_KINDS,
    ObjectError,
    ServiceKind,
    TeamLimits,
    parse_spec,
    render_limits,
)
from vanillareach.core.outcomes import Reason, Refusal


class ConfigurationObject(msgspec.Struct, frozen=True):
    """One version of one configuration object.

    Attributes
    ----------
    kind, name : str
        Identity of the object.
    version : int
        Counter raised by one with every accepted change.
    change_id : str
        Identity of the change, by which a writer recognises its own write when the
        response was lost.
    deleted : bool
        Whether this version is a tombstone.
    spec : dict
        Document of the specification; empty for a tombstone.
    """

    kind: str
    name: str
    version: int
    change_id: str
    deleted: bool = False
    spec: dict = {}

    @property
    def key(self):
        """Identity as one string, ``kind.name``."""
        return f"{self.kind}.{self.name}"


class VersionedStore:
    """Objects by key; the version of each only rises."""

    __slots__ = ("_digest", "objects_by_key")

    def __init__(self):
        self.objects_by_key = {}
        self._digest = 0

    @property
    def digest(self):
        """Order-independent 64-bit digest of all keys and versions."""
        return self._digest

    def merge(self, candidate):
        """Store `candidate` if it is newer than the stored version.

        Returns
        -------
        bool
            Whether the stored object changed.
        """
        stored = self.objects_by_key.get(candidate.key)
        if stored is not None and not _is_newer(candidate, stored):
            return False
        if stored is not None:
            self._digest ^= _object_digest(stored)
        self._digest ^= _object_digest(candidate)
        self.objects_by_key[candidate.key] = candidate
        return True

    def versions_by_key(self):
        """Return the stored version of every key."""
        return {key: stored.version for key, stored in self.objects_by_key.items()}

    def newer_than(self, versions_by_key):
        """Return the objects newer than or missing from `versions_by_key`."""
        return [
            stored
            for key, stored in self.objects_by_key.items()
            if stored.version > versions_by_key.get(key, 0)
        ]


def _is_newer(candidate, stored):
    return candidate.version > stored.version


def _object_digest(item):
    return hash64(f"{item.key}@{item.version}")


class TeamView:
    """A team's rendered limits and the services it may use."""

    __slots__ = ("limits", "name", "services")

    def __init__(self, name, limits, services):
        self.name = name
        self.limits = limits
        self.services = services


class ConfigurationView:
    """Parsed objects and indexes over one state of the store.

    It is rebuilt after every change. Objects that are not valid are left out.

    Attributes
    ----------
    specs_by_key : dict of str to Spec
    errors_by_key : dict of str to str
        Why an object is left out.
    services_by_name : dict of str to ServiceSpec
    services_by_model : dict of str to ServiceSpec
    templates_by_name : dict of str to TemplateSpec
    teams_by_name : dict of str to TeamView
    teams_by_token_sha256 : dict of str to TeamView
    """

    __slots__ = (
        "errors_by_key",
        "services_by_model",
        "services_by_name",
        "specs_by_key",
        "teams_by_name",
        "teams_by_token_sha256",
        "templates_by_name",
    )

    def __init__(self, objects):
        self.specs_by_key = {}
        self.errors_by_key = {}
        for item in objects:
            if item.deleted or item.kind not in CONFIGURATION_KINDS:
                continue
            try:
                self.specs_by_key[item.key] = parse_spec(item.kind, item.spec)
            except ObjectError as error:
                self.errors_by_key[item.key] = str(error)
        self.services_by_name = self._specs("service")
        self.templates_by_name = self._specs("template")
        self.services_by_model = {
            spec.model: spec
            for spec in self.services_by_name.values()
            if spec.kind is ServiceKind.ENGINE
        }
        self.teams_by_name = {}
        self.teams_by_token_sha256 = {}
        for name, spec in self._specs("team").items():
            self._add_team(name, spec)

    def _specs(self, kind):
        prefix = f"{kind}."
        return {
            key.removeprefix(prefix): spec
            for key, spec in self.specs_by_key.items()
            if key.startswith(prefix)
        }

    def _add_team(self, name, spec):
        template = self.templates_by_name.get(spec.template)
        if template is None:
            self.errors_by_key[f"team.{name}"] = f"no template {spec.template!r}"
            return
        try:
            limits = render_limits(template, spec)
        except ObjectError as error:
            self.errors_by_key[f"team.{name}"] = str(error)
            return
        team = TeamView(name, limits, frozenset(template.services))
        self.teams_by_name[name] = team
        for digest in spec.token_sha256:
            self.teams_by_token_sha256[digest] = team


class Plan(msgspec.Struct, frozen=True):
    """Effect that a change would have.

    Attributes
    ----------
    key : str
        Object that changes.
    base_version : int
        Version on which the plan is based; 0 for a new object.
    lines : tuple of str
        Field changes, one per line.
    limits_by_team : dict of str to TeamLimits
        Limits of every team whose rendered limits would change.
    """

    key: str
    base_version: int
    lines: tuple[str, ...]
    limits_by_team: dict[str, TeamLimits]


def plan_change(store, kind, name, document):
    """Validate a change against the whole configuration and return its effect.

    Parameters
    ----------
    store : VersionedStore
        Current configuration.
    kind, name : str
        Object to change.
    document : dict or None
        New specification; None deletes the object.

    Returns
    -------
    Plan or Refusal
        Refusal with reason ``bad_request`` when the result would not be valid.
    """
    key = f"{kind}.{name}"
    stored = store.objects_by_key.get(key)
    base_version = stored.version if stored else 0
    old_document = stored.spec if stored and not stored.deleted else {}
    if document is not None:
        try:
            spec = parse_spec(kind, document)
        except ObjectError as error:
            return Refusal(Reason.BAD_REQUEST, str(error))
        if spec.name != name:
            return Refusal(Reason.BAD_REQUEST, f"{kind}: name differs from {name!r}")
    elif not old_document:
        return Refusal(Reason.NOT_FOUND, f"{key} does not exist")
    before = ConfigurationView(store.objects_by_key.values())
    changed = ConfigurationObject(
        kind, name, base_version + 1, "", document is None, document or {}
    )
    after_by_key = {**store.objects_by_key, key: changed}
    after = ConfigurationView(after_by_key.values())
    error = _first_new_error(before, after) or _reference_error(after)
    if error:
        return Refusal(Reason.BAD_REQUEST, error)
    limits_by_team = {
        team.name: team.limits
        for team in after.teams_by_name.values()
        if _limits_of(before, team.name) != team.limits
    }
    lines = tuple(_difference(old_document, document or {}))
    return Plan(key, base_version, lines, limits_by_team)


def _limits_of(view, team_name):
    team = view.teams_by_name.get(team_name)
    return team.limits if team else None


def _first_new_error(before, after):
    for key, error in after.errors_by_key.items():
        if before.errors_by_key.get(key) != error:
            return f"{key}: {error}"
    return None


def _reference_error(view):
    for template in view.templates_by_name.values():
        for service in template.services:
            if service not in view.services_by_name:
                return f"template.{template.name}: no service {service!r}"
    models = [
        spec.model
        for spec in view.services_by_name.values()
        if spec.kind is ServiceKind.ENGINE
    ]
    for model in models:
        if models.count(model) > 1:
            return f"model {model!r} is offered by two services"
    return None


def _difference(old, new, prefix=""):
    for field in sorted(old.keys() | new.keys()):
        path = f"{prefix}{field}"
        before = old.get(field)
        after = new.get(field)
        if before == after:
            continue
        if isinstance(before, dict) and isinstance(after, dict):
            yield from _difference(before, after, f"{path}.")
        elif before is None:
            yield f"+ {path} = {after!r}"
        elif after is None:
            yield f"- {path} = {before!r}"
        else:
            yield f"~ {path}: {before!r} -> {after!r}"
