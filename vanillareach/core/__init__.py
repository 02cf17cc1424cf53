"""Decision logic of the serving layer, without I/O.

No module of this package uses sockets, files, timers or tasks. Each class takes typed
messages and the current time in milliseconds and returns typed messages, so tests can
drive it with a manual clock.
"""
