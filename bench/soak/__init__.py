"""Fault soak: real gateways as processes, faults from outside, promises checked."""
