"""Scenarios that several tests of the load test share."""

from __future__ import annotations

from typing import Any

SHORT: dict[str, Any] = {
    "span_s": 6.0,
    "nodes": {"count": 2, "back_s": 1.0, "noticed_s": 0.3},
    "hosts": [{"count": 3, "size": 2.0}],
    "links": {"rate": 15.0, "life_s": 3.0, "beat_s": 0.5, "effects": ["rerunnable", "exclusive"]},
    "faults": [
        {"kind": "crash", "at_s": 1.0, "hosts": 1, "for_s": 1.0},
        {"kind": "kill", "at_s": 2.5, "nodes": 1},
        {"kind": "drain", "at_s": 3.5, "hosts": 1, "for_s": 1.5},
        {"kind": "crowd", "at_s": 4.0, "share": 0.5},
    ],
}
