"""The routing settings that the tests of `glenrock.net` use."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "slotNo": 0,
    "tickUs": 2000,
    "caps": {
        "maxAttempts": 3,
        "cancel": True,
        "mayTell": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1000000,
        "dialTimeoutUs": 200000,
    },
    "classes": [{"name": "look", "targetUs": 300000, "deadlineUs": 1800000}],
    "obligations": {
        "drainGraceUs": 6000000,
        "coldShare": 0.3,
        "coldUs": 9000000,
        "fallMultiple": 3,
        "overloadForUs": 3000000,
    },
}


def caps(**changes: object) -> dict[str, object]:
    """Returns the section `caps` of the settings, with these changes."""
    return {**SETTINGS["caps"], **changes}
