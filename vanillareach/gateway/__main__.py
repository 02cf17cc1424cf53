"""Runs a gateway with settings from the environment, without the command line."""

import os
import sys

import vanillareach.early_signals  # noqa: F401
from vanillareach.early_sockets import listen_early

if __name__ == "__main__":
    # Before all else is loaded, which takes most of a start.
    listen_early(os.environ, ("VANILLAREACH_FRONT_LISTEN", "VANILLAREACH_READY_LISTEN"))

# ruff: noqa: E402
from vanillareach.gateway.app import run_gateway
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.platform.calls import PlatformProtocol
from vanillareach.platform.orders import PlatformReservationProtocol
from vanillareach.platform.store import PlatformStore
from vanillareach.settings import SettingsError


def run_on_platform(settings):
    """Run one gateway instance with the platform's adapter."""
    store = PlatformStore(settings.store)
    run_gateway(settings, store, PlatformProtocol(), PlatformReservationProtocol())


def main():
    """Run a gateway; a wrong setting ends the start with a sentence."""
    try:
        settings = GatewaySettings.from_environment(os.environ)
    except SettingsError as error:
        sys.exit(f"gateway: {error}")
    run_on_platform(settings)


if __name__ == "__main__":
    main()
