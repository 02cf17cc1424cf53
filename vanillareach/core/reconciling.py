"""Choice of the engines to change next, to bring a service to its specification."""

import math

# Share of a service's engines that keeps serving during a change.
MIN_SERVING_SHARE = 0.8


class ObservedEngine:
    """State of one engine as read back from it.

    Parameters
    ----------
    name : str
    order : EngineOrder or None
        None when the engine could not be read.
    """

    __slots__ = ("name", "order")

    def __init__(self, name, order):
        self.name = name
        self.order = order


def differs_from_spec(order, service):
    """Return whether an engine's state differs from its service's specification."""
    return (
        order.model != service.model
        or order.version != service.version
        or tuple(order.adapters) != tuple(service.adapters)
    )


def engines_to_change(observed_engines, service):
    """Return the names of the engines to which an order is sent now.

    At most one fifth of the engines are out of service at once, including those whose
    state could not be read. If all could be read, one may be changed even if it is more
    than a fifth.

    Parameters
    ----------
    observed_engines : list of ObservedEngine
    service : ServiceSpec
    """
    unreadable = [engine for engine in observed_engines if engine.order is None]
    outdated = [
        engine.name
        for engine in observed_engines
        if engine.order is not None and differs_from_spec(engine.order, service)
    ]
    allowance = math.floor(len(observed_engines) * (1 - MIN_SERVING_SHARE)) - len(
        unreadable
    )
    if not unreadable:
        allowance = max(1, allowance)
    return outdated[: max(0, allowance)]
