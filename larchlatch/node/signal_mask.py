"""Keeps signals pending while a process can't handle them yet, or can't handle them any more.

By default SIGHUP and SIGUSR1 end a process. A node handles them from when its event loop runs until it has
stopped.
This module imports little, so that it can be used before everything else is imported.
"""

from __future__ import annotations

import signal
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)  # that a running node handles
HELD_AT_START = (signal.SIGHUP, signal.SIGUSR1)


def hold_signals() -> None:
    """Keep signals that must not end the process pending until it handles them.

    SIGTERM and SIGINT end it at once until then, as it has no client yet.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_AT_START)
    # Python's own handler would log a traceback.
    if signal.getsignal(signal.SIGINT) is signal.default_int_handler:
        signal.signal(signal.SIGINT, signal.SIG_DFL)


@contextmanager
def deliver_signals() -> Iterator[None]:
    """Let pending signals be delivered while the block runs; the process has to handle them.

    If signals were held before, the process is about to end after the block, and all signals are held then.
    """
    former = signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    try:
        yield
    finally:
        held = SIGNALS if former.issuperset(HELD_AT_START) else ()
        signal.pthread_sigmask(signal.SIG_SETMASK, {*former, *held})
