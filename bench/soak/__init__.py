"""Fault soak: checks what real gateways guarantee while faults are injected."""
