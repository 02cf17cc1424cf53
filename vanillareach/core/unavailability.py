"""Why a service has no endpoint that this instance may ask."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Unavailability:
    """Reason for which no endpoint of a service may be asked now.

    Attributes
    ----------
    reason : str
        "evacuated", "leaving", "quiet" or "limited".
    endpoints : tuple of str
        Ids of the endpoints for which it holds.
    wait_ms : float or None
        Time until the first of them may be asked; None if it isn't known.
    """

    reason: str
    endpoints: tuple
    wait_ms: float | None


def find_unavailability(listed, causes_by_id, service, excluded):
    """Return the `Unavailability` of a service; None if an endpoint may be asked.

    Parameters
    ----------
    listed : EndpointList
    causes_by_id : dict of str to (str, float)
        Why an endpoint may not be asked now, and for how many ms.
    service : str
    excluded : collection of str
        Ids of endpoints that the request has met already and doesn't use again.
    """
    usable = listed.usable(service)
    if not usable and (evacuated := listed.evacuated(service)):
        return Unavailability("evacuated", tuple(e.id for e in evacuated), None)
    if not usable:
        leaving = tuple(e.id for e in listed.by_id.values() if e.service == service)
        return Unavailability("leaving", leaving, None) if leaving else None
    ids = [endpoint.id for endpoint in usable]
    withheld = tuple(name for name in ids if name in causes_by_id)
    if not withheld or any(
        name not in excluded and name not in causes_by_id for name in ids
    ):
        return None
    if len(withheld) < len(ids):
        return Unavailability(causes_by_id[withheld[0]][0], withheld, None)
    reason, wait_ms = min(
        (causes_by_id[name] for name in withheld), key=lambda cause: cause[1]
    )
    return Unavailability(reason, withheld, wait_ms)
