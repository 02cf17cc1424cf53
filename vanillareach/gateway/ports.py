"""Ports that an adapter of a deployment implements, and the messages they carry."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerFields:
    """What a caller's header tells of its request.

    Attributes
    ----------
    attempt_id : str
        Identity of this attempt of the caller; empty if it gave none.
    timeout_ms : float or None
        How long the caller waits.
    key : str or None
        Team key; None without one, empty if it can't be read.
    prompt_tokens, answer_tokens : int
        Size of the prompt and most tokens of the answer; 0 if not told.
    last_event_id : int or None
        Event after which a stream is to go on.
    """

    attempt_id: str
    timeout_ms: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None


@dataclass(slots=True, frozen=True)
class EndpointRequestFields:
    """What the system adds to a request that goes to an endpoint.

    Attributes
    ----------
    endpoint : ListedEndpoint
    remaining_ms : float
        Time left of the caller's deadline.
    team : str or None
    priority : int or None
        0 is the most urgent; None leaves the endpoint's default.
    helpers : tuple of str
        Engines that read parts of the prompt, each as
        `MemoryReservationProtocol.helper_reference` names it.
    last_event_id : int or None
        Event after which the stream is to go on.
    weights_version : int or None
        Version of the weights that must be in use.
    """

    endpoint: object
    remaining_ms: float
    team: str | None = None
    priority: int | None = None
    helpers: tuple = ()
    last_event_id: int | None = None
    weights_version: int | None = None


@dataclass(slots=True, frozen=True)
class ResponseFields:
    """What an endpoint's answer header tells.

    Attributes
    ----------
    attempt_id : str
    is_signed : bool
    has_not_run : bool
        The endpoint's word that it did not begin the request.
    is_misdirected : bool
        The address belongs to another process than the one asked for.
    is_closing : bool
        The endpoint takes no further request on the connection.
    failed_helper_address : str
        Address of the helper that made the endpoint refuse, or empty.
    weights_version : int or None
    """

    attempt_id: str
    is_signed: bool
    has_not_run: bool
    is_misdirected: bool
    is_closing: bool
    failed_helper_address: str
    weights_version: int | None


class RequestProtocol(ABC):
    """How requests and answers tell what the system has to know."""

    @abstractmethod
    def read_request(self, headers):
        """Return the `CallerFields` in a list of (name, value) headers."""

    @abstractmethod
    def endpoint_headers(self, headers, endpoint_fields, strips_key):
        """Return the headers for an endpoint, without those of the connection.

        Parameters
        ----------
        headers : list of (bytes, bytes)
            The caller's.
        endpoint_fields : EndpointRequestFields
        strips_key : bool
            Whether the caller's key is kept from the endpoint.
        """

    @abstractmethod
    def read_response(self, status, headers):
        """Return the `ResponseFields` of an answer's status and headers."""


class MemoryReservationProtocol(ABC):
    """Orders about memory at an endpoint, as requests and their answers."""

    @abstractmethod
    def reserve_request(self, endpoint, reservation_id, tokens, hold_ms):
        """Return the `UpstreamRequest` that reserves memory or renews a reservation."""

    @abstractmethod
    def release_request(self, endpoint, reservation_id):
        """Return the `UpstreamRequest` that ends a reservation."""

    @abstractmethod
    def is_granted(self, status):
        """Return whether an answer's status says that the memory is held."""

    @abstractmethod
    def helper_reference(self, address, reservation_id):
        """Return how a request names a helper, with its ticket or without (None)."""


class DeploymentStore(ABC):
    """The deployment's store as the product reads it."""

    @abstractmethod
    async def read_configuration(self):
        """Return (revision, `RouteTable`), or None if there is none yet."""

    @abstractmethod
    async def wait_for_configuration(self, revision, wait_ms):
        """Wait for a change of the configuration after `revision`.

        Returns
        -------
        tuple of (int, RouteTable or None)
            Revision to wait from next, and the newest table or None without change.

        Raises
        ------
        PlatformGoneError
            If the history is lost.
        """

    @abstractmethod
    async def list_endpoints(self):
        """Return (revision, list of `ListedEndpoint`, list of unreadable entries)."""

    @abstractmethod
    async def list_instances(self):
        """Return the registered instances as a list of (name, peer address)."""

    @abstractmethod
    async def register_instance(self, name, address):
        """Write this instance's own entry."""

    @abstractmethod
    async def remove_instance(self, name):
        """Remove the entry of an instance that is gone."""
