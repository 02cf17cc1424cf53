"""Why a service has no endpoint that this instance may ask."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Unavailability:
    """Reason for which no endpoint of a service may be asked now.

    Attributes
    ----------
    reason : str
        "leaving" or "quiet".
    endpoints : tuple of str
        Ids of the endpoints for which it holds.
    wait_ms : float or None
        Time until the first of them may be asked; None if it isn't known.
    """

    reason: str
    endpoints: tuple
    wait_ms: float | None


def find_unavailability(listed, quiet_periods, service, excluded, now_ms):
    """Return the `Unavailability` of a service; None if an endpoint may be asked.

    Parameters
    ----------
    listed : EndpointList
    quiet_periods : QuietPeriods
    service : str
    excluded : collection of str
        Ids of endpoints that the request has met already and doesn't use again.
    now_ms : float
    """
    usable = listed.usable(service)
    if not usable:
        leaving = tuple(e.id for e in listed.by_id.values() if e.service == service)
        return Unavailability("leaving", leaving, None) if leaving else None
    wait_ms_by_id = {
        endpoint.id: quiet_periods.remaining_ms(endpoint.key, now_ms)
        for endpoint in usable
    }
    quiet = tuple(name for name, wait_ms in wait_ms_by_id.items() if wait_ms > 0)
    if not quiet or any(
        name not in excluded and not wait_ms for name, wait_ms in wait_ms_by_id.items()
    ):
        return None
    first_wait_ms = min(wait_ms_by_id.values())
    return Unavailability("quiet", quiet, first_wait_ms or None)
