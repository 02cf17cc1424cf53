"""The face towards callers of routes: any method and body, forwarded opaquely."""
