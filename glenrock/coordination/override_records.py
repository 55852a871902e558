"""Reads the records of the overrides' job from the lease store."""

from __future__ import annotations

from .leases.store import LeaseStore
from .override_applier import OverrideApplier
from .shared_work.override_log import decode_entry, decode_incarnation_key
from .shared_work.revision import Revision

OVERRIDES_JOB = "bans"  # the job's name in the store and in datagrams


async def read_records(store: LeaseStore, applier: OverrideApplier) -> None:
    """Merges all records of the store into the override log. Raises StoreUnavailableError."""
    for key, record in (await store.records(OVERRIDES_JOB)).items():
        incarnation = decode_incarnation_key(key)
        if incarnation is not None:
            applier.record_committed(incarnation, int(record.value) if record.value.isdecimal() else 0)
        elif entry := decode_entry(record.value, Revision(record.term, record.sequence)):
            applier.merge_entry(key, entry)
    applier.has_changes.set()
