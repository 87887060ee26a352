"""Handover records that this host stores for other entry hosts."""

import time

from buckthornhold.peers import handovers_pb2

#: Estimated memory of a record in addition to its serialized bytes.
RECORD_OVERHEAD_BYTES = 400


class StoredRecord:
    """A record with its size and expiry time."""

    def __init__(self, *, record, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._record = record
        self.refresh()

    @property
    def record(self) -> handovers_pb2.HandoverRecord:
        """The request's handover record."""
        return self._record

    @property
    def size(self) -> int:
        """Memory size in bytes."""
        return self._size

    @property
    def expired(self) -> bool:
        """Whether the record wasn't updated within the retention time."""
        return time.monotonic() > self._expires_at

    def refresh(self) -> None:
        """Recompute the record's size and extend its retention."""
        self._size = self._record.ByteSize() + RECORD_OVERHEAD_BYTES
        self._expires_at = time.monotonic() + self._retention_seconds


class HandoverRecords:
    """Handover records of other hosts' requests in bounded memory.

    ``limit_bytes`` limits the memory. A record expires
    ``retention_seconds`` after its last update from its entry host.
    """

    def __init__(self, *, limit_bytes: int, retention_seconds: float) -> None:
        self._limit_bytes = limit_bytes
        self._retention_seconds = retention_seconds
        self._records: dict[str, StoredRecord] = {}
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Memory used by the records, in bytes."""
        return self._used_bytes

    @property
    def count(self) -> int:
        """Number of stored records."""
        return len(self._records)

    def find(self, request_id: str) -> handovers_pb2.HandoverRecord | None:
        """Return the record of a request."""
        stored = self._records.get(request_id)
        return stored.record if stored is not None else None

    def store(self, record: handovers_pb2.HandoverRecord):
        """Store a record if it fits, and return the outcome."""
        known = self.find(record.request_id)
        if known is not None:
            if known.digest != record.digest:
                return handovers_pb2.HOLD_REUSED
            if (
                known.epoch >= record.epoch
                and known.entry_host != record.entry_host
            ):
                return handovers_pb2.HOLD_KNOWN
        stored = StoredRecord(
            record=record, retention_seconds=self._retention_seconds
        )
        self._remove(record.request_id)
        if self._used_bytes + stored.size > self._limit_bytes:
            self.prune()
        if self._used_bytes + stored.size > self._limit_bytes:
            return handovers_pb2.HOLD_FULL
        self._records[record.request_id] = stored
        self._used_bytes += stored.size
        return handovers_pb2.HOLD_HELD

    def update(self, update: handovers_pb2.UpdateRequest) -> bool:
        """Update a record; return whether the update was applied."""
        stored = self._records.get(update.request_id)
        if stored is None or stored.record.epoch != update.epoch:
            return False
        record = stored.record
        if update.offset > len(record.texts):
            return False
        record.version = update.version
        record.upstream = update.upstream
        record.upstream_incarnation = update.upstream_incarnation
        del record.texts[update.offset :]
        record.texts.extend(update.texts)
        self._used_bytes -= stored.size
        stored.refresh()
        self._used_bytes += stored.size
        return True

    def release(self, request_id: str, epoch: int) -> None:
        """Remove a request's record unless its epoch is newer."""
        record = self.find(request_id)
        if record is not None and record.epoch <= epoch:
            self._remove(request_id)

    def prune(self) -> None:
        """Remove expired records."""
        for request_id, stored in list(self._records.items()):
            if stored.expired:
                self._remove(request_id)

    def _remove(self, request_id: str) -> None:
        stored = self._records.pop(request_id, None)
        if stored is not None:
            self._used_bytes -= stored.size
