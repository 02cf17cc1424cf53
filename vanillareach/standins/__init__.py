"""Simplified implementations of the systems that vanillareach calls.

The demo, the tests and the benchmarks use them; none is part of a deployment.
"""
