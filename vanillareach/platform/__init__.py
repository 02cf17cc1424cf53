"""Adapter to the users' platform: wire names, formats and calls, but no decisions."""
