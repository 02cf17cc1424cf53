"""Ignores a signal to reload until the application has set its handler.

Imported before all else: the signal would end a process that is still loading.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
