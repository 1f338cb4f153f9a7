"""Handling of signals that reach `serve` before its event loop can handle them.

CPython's C-level signal handler only sets a flag; the Python handler runs at the interpreter's next check of
that flag, or when a system call returns EINTR. A signal that arrives between the last check and the entry
into a blocking system call interrupts nothing, and its Python handler waits until the call ends by itself.
The C-level handler also writes the signal's number to the wakeup descriptor. A thread reads the other end, so
the signal is handled even while the main thread is blocked.

This is the program's first import, so it imports only what the interpreter has loaded already or carries
built in (hence `_thread` in place of `threading`).
"""

import _thread
import os
import signal

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
READ_SIZE = 64  # bytes, one per signal; the rest is read next time


def exit_at_once(*_):
    """Ends the process with exit code 0. An exception would surface in whatever import is running."""
    os._exit(0)


class StartupSignals:
    """Ends the process on a termination signal and remembers SIGHUP, until the event loop takes over."""

    def __init__(self):
        self._installed = False
        self._reload_requested = False

    def install(self):
        """Installs the handlers and starts the thread that ends the process; a second call has no effect."""
        if self._installed:
            return
        self._installed = True
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._write_end, False)
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)
        for number in TERMINATION_SIGNALS:
            signal.signal(number, exit_at_once)
        signal.signal(signal.SIGHUP, self._request_reload)
        self._thread_ended = _thread.allocate_lock()
        self._thread_ended.acquire()
        _thread.start_new_thread(self._read_wakeup_pipe, ())

    def hand_over(self):
        """Ends the thread; returns whether a SIGHUP came, so that the caller can reload.

        Must be called once the event loop has handlers for all three signals. The loop replaces the wakeup
        descriptor before it sets the first of them, so a signal in between reaches the Python handlers here,
        the loop, or both.
        """
        if self._installed:
            self._installed = False
            os.close(self._write_end)
            self._thread_ended.acquire()
        return self._reload_requested

    def _request_reload(self, *_):
        self._reload_requested = True

    def _read_wakeup_pipe(self):
        while signals := os.read(self._read_end, READ_SIZE):
            if any(number in signals for number in TERMINATION_SIGNALS):
                exit_at_once()
        os.close(self._read_end)
        self._thread_ended.release()
