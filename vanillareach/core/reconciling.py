"""Which engines to change next so that a service comes to its wanted state."""

import math

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
    """Return whether an engine's state is not the one its service wants."""
    return (
        order.model != service.model
        or order.version != service.version
        or tuple(order.adapters) != tuple(service.adapters)
    )


def engines_to_change(observed_engines, service):
    """Return the names of engines to give an order now.

    At most one fifth of the engines are out of service at once, those that cannot be
    read included, but one may always be changed when all can be read.

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
