"""Ports that the adapters of a deployment implement, and their message types."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

import msgspec


@dataclass(slots=True, frozen=True)
class CallerFields:
    """Fields that the gateway reads from the headers of a caller's request.

    Attributes
    ----------
    attempt_id : str
        Id that the caller gave this attempt; empty without one.
    timeout_ms : float or None
        Time for which the caller waits for the response.
    key : str or None
        Team key; None without one, empty if it can't be parsed.
    prompt_tokens, answer_tokens : int
        Length of the prompt and maximum length of the answer; 0 if not specified.
    last_event_id : int or None
        Event after which a stream is to resume.
    prompt_parts : tuple of str
        Ids of the parts that the prompt may share with other requests, in order.
    length_hint : int
        Length of the answer in tokens as the caller expects it; 0 if not specified.
    """

    attempt_id: str
    timeout_ms: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None
    prompt_parts: tuple[str, ...] = ()
    length_hint: int = 0


@dataclass(slots=True, frozen=True)
class EndpointRequestFields:
    """Fields that the gateway adds to a request to an endpoint.

    Attributes
    ----------
    endpoint : ListedEndpoint
    remaining_ms : float
        Time left until the caller's deadline.
    team : str or None
    priority : int or None
        0 is the most urgent; None selects the endpoint's default.
    helpers : tuple of str
        Engines that prefill parts of the prompt, each as
        `MemoryReservationProtocol.helper_reference` names it.
    last_event_id : int or None
        Event after which the stream is to resume.
    weights_version : int or None
        Version of the model weights that the endpoint must use.
    """

    endpoint: object
    remaining_ms: float
    team: str | None = None
    priority: int | None = None
    helpers: tuple = ()
    last_event_id: int | None = None
    weights_version: int | None = None


@dataclass(slots=True, frozen=True)
class EndpointSignals:
    """What an endpoint says about itself in an answer of any kind.

    Attributes
    ----------
    is_leaving : bool
        Whether it wants no further request before its next start.
    quiet_ms : float
        Time for which it wants no request from this instance; 0 without one.
    ignored_retry_after : str
        Text of a time that can't be used; empty without one.
    limit_per_s : float or None
        Requests a second that it takes from all instances together; None if it names
        no limit.
    cold_ms : float or None
        Time for which it is still cold; None if it doesn't say.
    """

    is_leaving: bool = False
    quiet_ms: float = 0.0
    ignored_retry_after: str = ""
    limit_per_s: float | None = None
    cold_ms: float | None = None


@dataclass(slots=True, frozen=True)
class ResponseFields:
    """Fields that the gateway reads from the headers of an endpoint's response.

    Attributes
    ----------
    attempt_id : str
    is_signed : bool
    has_not_run : bool
        Whether the endpoint states that it did not begin the request.
    says_not_run : bool
        Whether callers take the status for the promise that the request has not run and
        never will, whatever the endpoint states.
    is_replaced_failure : bool
        Whether a peer has replaced the status of an endpoint's failure.
    is_misdirected : bool
        Whether the request reached another process than the one addressed.
    closes_connection : bool
        Whether the endpoint accepts no further request on the connection.
    failed_helper_address : str
        Address of the helper that made the endpoint refuse, or empty.
    weights_version : int or None
    signals : EndpointSignals
    """

    attempt_id: str
    is_signed: bool
    has_not_run: bool
    says_not_run: bool
    is_replaced_failure: bool
    is_misdirected: bool
    closes_connection: bool
    failed_helper_address: str
    weights_version: int | None
    signals: EndpointSignals


class RequestProtocol(ABC):
    """Encoding of the gateway's metadata in requests and responses."""

    @abstractmethod
    def read_request(self, headers):
        """Return the `CallerFields` in a list of (name, value) headers."""

    @abstractmethod
    def replaced_failure_headers(self, status, headers):
        """Return the headers of a failure that is sent with another status.

        They tell the endpoint's status, but neither that the endpoint stands for the
        answer nor when the request may be sent again.

        Parameters
        ----------
        status : int
            Of the endpoint's answer.
        headers : list of (bytes, bytes)
            Of the endpoint's answer.
        """

    @abstractmethod
    def endpoint_headers(self, headers, endpoint_fields, strips_key):
        """Return the headers for an endpoint, without connection headers.

        Parameters
        ----------
        headers : list of (bytes, bytes)
            Headers of the caller's request.
        endpoint_fields : EndpointRequestFields
        strips_key : bool
            Whether the caller's key is removed.
        """

    @abstractmethod
    def read_response(self, status, headers):
        """Return the `ResponseFields` of a response's status and headers."""


class MemoryReservationProtocol(ABC):
    """Requests that reserve and release memory at an endpoint, and their responses."""

    @abstractmethod
    def reserve_request(self, endpoint, reservation_id, tokens, ttl_ms):
        """Return the `UpstreamRequest` that reserves memory or renews a reservation."""

    @abstractmethod
    def release_request(self, endpoint, reservation_id):
        """Return the `UpstreamRequest` that ends a reservation."""

    @abstractmethod
    def is_granted(self, status):
        """Return whether a response status means that the memory is reserved."""

    @abstractmethod
    def read_signals(self, status, headers):
        """Return the `EndpointSignals` of a response's status and headers."""

    @abstractmethod
    def helper_reference(self, address, reservation_id):
        """Return how a request refers to a helper.

        Parameters
        ----------
        address : str
            Address of the helper.
        reservation_id : str or None
            Reservation at the helper; None without one.
        """


class StoreListing:
    """Objects of one kind, as far as the store's list of them can be read.

    Parameters
    ----------
    position : StorePosition
    items : list
    unreadable : list of str
    gap : str

    Attributes
    ----------
    position : StorePosition
    items : list
        What the objects that can be read stand for.
    unreadable : list of str
        Descriptions of the others.
    gap : str
        Why other objects may be listed besides; empty if the list is complete.
    """

    __slots__ = ("gap", "items", "position", "unreadable")

    def __init__(self, position, items, unreadable=(), gap=""):
        self.position = position
        self.items = items
        self.unreadable = list(unreadable)
        self.gap = gap


class StorePosition(NamedTuple):
    """Position in the store's history; a later one is greater.

    Attributes
    ----------
    era : int
        Rises when the store comes back from an older copy.
    revision : int
        Rises with each change within an era.
    """

    era: int
    revision: int


class RegisteredInstance(msgspec.Struct, frozen=True):
    """Entry of an instance in the store.

    Attributes
    ----------
    name, address : str
        Name and peer address.
    domain : str
        Failure domain; empty in the entry of an older version.
    capacity : float
        Relative processing capacity of its machine.
    forward_address : str
        Address for requests that peers hand on; empty in the entry of an older version.
    """

    name: str
    address: str
    domain: str = ""
    capacity: float = 0.0
    forward_address: str = ""


class DeploymentStore(ABC):
    """The deployment's store as the gateway uses it."""

    @abstractmethod
    async def read_configuration(self):
        """Return (`StorePosition`, `RouteTable`), or None if there is none yet."""

    @abstractmethod
    async def wait_for_configuration(self, position, wait_ms):
        """Wait for a change of the configuration after `position`.

        Returns
        -------
        tuple of (StorePosition, RouteTable or None)
            Position for the next call, and the newest configuration, or None if it did
            not change within `wait_ms`.

        Raises
        ------
        PlatformGoneError
            If the store no longer has the history since `position`, or a change of it
            can't be read.
        """

    @abstractmethod
    async def list_endpoints(self):
        """Return the list of endpoints.

        Returns
        -------
        StoreListing
            Of `ListedEndpoint`.
        """

    @abstractmethod
    async def list_evacuations(self):
        """Return the evacuated failure domains.

        Returns
        -------
        StoreListing
            Of their names.
        """

    @abstractmethod
    async def wait_for_evacuations(self, position, wait_ms):
        """Wait for a change of the evacuated domains after `position`.

        Returns
        -------
        tuple of (StorePosition, dict of str to bool)
            Position for the next call, and whether each changed domain is evacuated.

        Raises
        ------
        PlatformGoneError
            If the store no longer has the history since `position`, or a change of it
            can't be read.
        """

    @abstractmethod
    async def list_instances(self, may_be_stale=False):
        """Return the registered instances.

        Parameters
        ----------
        may_be_stale : bool
            Whether the list may be some seconds old, which costs the store less.

        Returns
        -------
        StoreListing
            Of `RegisteredInstance`.
        """

    @abstractmethod
    async def register_instance(self, instance):
        """Write the entry of an instance, a `RegisteredInstance`."""

    @abstractmethod
    async def remove_instance(self, name):
        """Remove the entry of an instance that has not been heard for long."""
