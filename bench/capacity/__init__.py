"""Measures how each role's cost grows and computes its cost at the target size."""
