"""Emulated endpoints and callers, to test gateways on one machine.

``vanillareach emulate`` runs the store and the endpoints of a scenario;
``vanillareach load`` sends its requests to gateways and reports the results.
"""
