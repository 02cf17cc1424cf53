"""Endpoints and callers of a scenario, to try gateways on one machine.

``vanillareach emulate`` runs the store and the endpoints of a scenario;
``vanillareach load`` sends its requests to gateways and reports what they got.
"""
