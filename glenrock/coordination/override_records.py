"""The job of operators' overrides, and its records in the store."""

from __future__ import annotations

from .leases.store import LeaseStore
from .override_applier import OverrideApplier
from .shared_work.override_log import decode_entry
from .shared_work.revision import Revision

OVERRIDES_JOB = "bans"  # a word of the store and of datagrams, shared with earlier versions


async def read_records(store: LeaseStore, applier: OverrideApplier) -> None:
    """Takes in all that the store has. Raises StoreUnavailableError."""
    for key, record in (await store.records(OVERRIDES_JOB)).items():
        if key[:1] == "\n":
            applier.record_committed(key[1:], int(record.value) if record.value.isdecimal() else 0)
        elif entry := decode_entry(record.value, Revision(record.term, record.sequence)):
            applier.take(key, entry)
    applier.unsettled.set()
