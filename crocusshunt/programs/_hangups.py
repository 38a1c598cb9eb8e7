"""Ignores SIGHUP from its import on, until the program handles it.

A program takes a moment to import the rest of its modules, and a hangup in
that time would end the process. Settings are read after it in any case.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
