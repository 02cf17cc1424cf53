"""Behaviour tests (behave) and their fixtures."""
