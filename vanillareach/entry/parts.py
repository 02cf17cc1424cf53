"""Components that the HTTP interface shares with the rest of the application."""


class EntryComponents:
    """Shared components of one entry instance.

    Attributes
    ----------
    settings : Settings
    clock : Clock
    metrics : Metrics
    traces : Traces
    fleet_state : FleetState
    store : VersionedStore
    directory : Directory
    admission : SharedAdmission
    estimator : TokenEstimator
    placement : PlacementPolicy
    retry_budgets_by_service : dict of str to RetryBudget
    endpoints : EndpointPort
    ledger : object
        Has the methods ``claim`` and ``settle`` of `LocalLedger`.
    fleet : Fleet
    owner : str
        Name and incarnation of this instance; identifies its claims and its requests
        on engines.
    random : random.Random
    view_type : type
        Class of the configuration view, built from the stored objects.
    stopping : bool
        Whether the instance has received a stop signal.
    """

    __slots__ = (
        "_view",
        "_view_digest",
        "admission",
        "clock",
        "directory",
        "endpoints",
        "estimator",
        "fleet",
        "fleet_state",
        "ledger",
        "metrics",
        "owner",
        "placement",
        "random",
        "retry_budgets_by_service",
        "settings",
        "stopping",
        "store",
        "traces",
        "view_type",
    )

    def __init__(self, **components):
        self.stopping = False
        self._view = None
        self._view_digest = None
        for name, component in components.items():
            setattr(self, name, component)

    def view(self):
        """Return the `ConfigurationView` of the current objects in the store."""
        if self._view is None or self._view_digest != self.store.digest:
            self._view = self.view_type(self.store.objects_by_key.values())
            self._view_digest = self.store.digest
        return self._view

    def unready_reason(self):
        """Return why the instance is not ready for requests, or an empty string."""
        if self.stopping:
            return "stopping"
        if not self.fleet_state.has_full_copy:
            return "configuration is not loaded"
        return ""
