"""Ignores SIGHUP until the application has installed its handler for a reload.

Imported first: the default action of SIGHUP would terminate a process that is still
loading.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
