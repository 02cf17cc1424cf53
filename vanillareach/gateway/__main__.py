"""Runs a gateway with settings from environment variables, without the CLI."""

import os
import sys

import vanillareach.early_signals  # noqa: F401
from vanillareach.early_sockets import listen_early

if __name__ == "__main__":
    # Listens before the remaining imports, which take most of the start-up time.
    listen_early(os.environ, ("VANILLAREACH_FRONT_LISTEN", "VANILLAREACH_READY_LISTEN"))

# ruff: noqa: E402
from vanillareach.gateway.app import run_gateway
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.platform.calls import PlatformProtocol
from vanillareach.platform.orders import PlatformReservationProtocol
from vanillareach.platform.store import PlatformStore
from vanillareach.settings import SettingsError


def run_on_platform(settings):
    """Run one gateway instance with the adapters of the users' platform."""
    store = PlatformStore(settings.store)
    run_gateway(settings, store, PlatformProtocol(), PlatformReservationProtocol())


def main():
    """Run a gateway; exit with an error message if a setting is invalid."""
    try:
        settings = GatewaySettings.from_environment(os.environ)
    except SettingsError as error:
        sys.exit(f"gateway: {error}")
    run_on_platform(settings)


if __name__ == "__main__":
    main()
