"""Configuration stored at the platform: conditional changes, list and watch."""

import random

import msgspec
import trio

from vanillareach.control.object_api import (
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from vanillareach.core.configuration import ConfigurationObject, plan_change
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.log import get_logger
from vanillareach.utils import new_id

CONFIGURATION_COLLECTION = "configurations"
CHANGE_HISTORY_LENGTH = 8
MAX_WRITE_ATTEMPTS = 5
INITIAL_BACKOFF_MS = 200
MAX_BACKOFF_MS = 5000
RETRY_AFTER_MS = 2000

log = get_logger("configuration")


class StoredConfiguration(msgspec.Struct):
    """A configuration object as stored at the platform.

    Attributes
    ----------
    item : ConfigurationObject
    earlier_change_ids : tuple of str
        Ids of the preceding changes, newest first. They show whether a write that got
        no response took effect before another change replaced it.
    """

    item: ConfigurationObject
    earlier_change_ids: tuple[str, ...] = ()


def decode_stored_configuration(stored):
    """Decode the `StoredConfiguration` in a `StoredObject`."""
    return msgspec.convert(stored.spec, StoredConfiguration)


class Accepted(msgspec.Struct, frozen=True):
    """An accepted change."""

    item: ConfigurationObject


class ConflictRefusal(Refusal):
    """Refusal of a change to an outdated version; `current` is the stored object."""

    __slots__ = ("current",)

    def __init__(self, current, base_version):
        super().__init__(
            Reason.CONFLICT,
            f"planned against version {base_version}, but version "
            f"{current.version} is in force",
        )
        self.current = current


class ConfigurationWriter:
    """Validates operators' changes and writes them to the platform.

    Parameters
    ----------
    platform : Platform
    store : VersionedStore
        Local copy of the configuration; accepted changes are merged into it.
    """

    def __init__(self, platform, store):
        self._platform = platform
        self._store = store

    async def accept(self, kind, name, document, base_version):
        """Validate a change as a whole and write it.

        Parameters
        ----------
        kind, name : str
        document : dict or None
            New specification; None deletes the object.
        base_version : int
            Version on which the operator based the change.

        Returns
        -------
        Accepted, ConflictRefusal or Refusal
            `Accepted` only if the write is known to have taken effect.
        """
        plan = plan_change(self._store, kind, name, document)
        if isinstance(plan, Refusal):
            return plan
        change = ConfigurationObject(
            kind,
            name,
            base_version + 1,
            new_id("c"),
            deleted=document is None,
            spec=document or {},
        )
        result = await self._write(change, base_version)
        if isinstance(result, Accepted):
            self._store.merge(result.item)
        return result

    async def _write(self, change, base_version):
        may_have_written = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                stored = await self._platform.read(CONFIGURATION_COLLECTION, change.key)
                known_result = _result_from_stored(stored, change, base_version)
                if known_result is not None:
                    return known_result
                await self._write_object(stored, change)
                return Accepted(change)
            except PlatformConflictError:
                continue
            except PlatformAmbiguousError:
                may_have_written = True
            except PlatformUnavailableError:
                if not may_have_written:
                    return _unavailable_refusal(Outcome.NOT_RUN)
                await trio.sleep(INITIAL_BACKOFF_MS / 1000)
        return _unavailable_refusal(
            Outcome.UNKNOWN if may_have_written else Outcome.NOT_RUN
        )

    async def _write_object(self, stored, change):
        earlier_change_ids = ()
        if stored is not None:
            current = decode_stored_configuration(stored)
            earlier_change_ids = (current.item.change_id, *current.earlier_change_ids)
        spec = msgspec.to_builtins(
            StoredConfiguration(change, earlier_change_ids[:CHANGE_HISTORY_LENGTH])
        )
        version = stored.metadata.resourceVersion if stored else ""
        await self._platform.write(CONFIGURATION_COLLECTION, change.key, spec, version)


def _result_from_stored(stored, change, base_version):
    """Return the result the stored object implies, or None if a write is needed."""
    if stored is None:
        if base_version == 0:
            return None
        return Refusal(Reason.NOT_FOUND, f"{change.key} does not exist")
    current = decode_stored_configuration(stored)
    if current.item.change_id == change.change_id:
        return Accepted(change)
    if change.change_id in current.earlier_change_ids:
        return Accepted(change)
    if current.item.version == base_version:
        return None
    return ConflictRefusal(current.item, base_version)


def _unavailable_refusal(outcome):
    detail = "the platform cannot be reached; the change is not accepted"
    if outcome is Outcome.UNKNOWN:
        detail = "the platform gave no answer; the change may or may not stand"
    return Refusal(Reason.PLATFORM_UNAVAILABLE, detail, outcome, RETRY_AFTER_MS)


class CollectionFollower:
    """Follows one platform collection by repeated list and watch calls.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    collection : str
    on_list : callable
        Called with each fresh `ObjectList`.
    on_event : callable
        Called with each `WatchEvent`.
    """

    def __init__(self, platform, clock, collection, on_list, on_event):
        self._platform = platform
        self._clock = clock
        self._collection = collection
        self._on_list = on_list
        self._on_event = on_event
        self._backoff_ms = INITIAL_BACKOFF_MS

    async def run(self):
        """Follow the collection until cancelled, with a backoff between attempts."""
        while True:
            try:
                await self.follow_once()
            except PlatformError as error:
                log.info(
                    "List or watch ended; retrying.",
                    collection=self._collection,
                    error=str(error),
                )
            await self._clock.sleep_ms(self._backoff_ms * (0.5 + random.random()))
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)

    async def follow_once(self):
        """List once, then watch until the watch ends."""
        listed = await self._platform.list(self._collection)
        self._on_list(listed)
        self._backoff_ms = INITIAL_BACKOFF_MS
        version = listed.metadata.resourceVersion
        async for event in self._platform.watch(self._collection, version):
            if event.type != "BOOKMARK":
                self._on_event(event)
