"""Faults that a test plants in a function of the program."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def raising_once(original: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that raises when it is called first, and then calls the original one."""
    raised = False

    def raise_or_call(*args: Any, **named: Any) -> Any:
        nonlocal raised
        if not raised:
            raised = True
            raise RuntimeError("from the test")
        return original(*args, **named)

    return raise_or_call
