"""Holdings: the handover records that a host holds for others."""

import time

from buckthornhold.peers import handovers_pb2

#: What a record costs besides its serialized bytes.
RECORD_OVERHEAD_BYTES = 400


class StoredRecord:
    """One record with its size and the time until which it is held."""

    def __init__(self, *, record, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._record = record
        self.refresh()

    @property
    def record(self) -> handovers_pb2.HandoverRecord:
        """What is known of the request."""
        return self._record

    @property
    def size(self) -> int:
        """Bytes of memory."""
        return self._size

    @property
    def expired(self) -> bool:
        """Whether nothing was heard of the request for too long."""
        return time.monotonic() > self._expires_at

    def refresh(self) -> None:
        """Count the record's size anew and keep it longer."""
        self._size = self._record.ByteSize() + RECORD_OVERHEAD_BYTES
        self._expires_at = time.monotonic() + self._retention_seconds


class HandoverRecords:
    """Records of other hosts' requests, in a bounded memory.

    ``limit_bytes`` bounds the memory and ``keep_seconds`` the time for
    which a record is held without a word of its entry host.
    """

    def __init__(self, *, limit_bytes: int, retention_seconds: float) -> None:
        self._limit_bytes = limit_bytes
        self._retention_seconds = retention_seconds
        self._records: dict[str, StoredRecord] = {}
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that the records take."""
        return self._used_bytes

    @property
    def count(self) -> int:
        """How many records are held."""
        return len(self._records)

    def find(self, request_id: str) -> handovers_pb2.HandoverRecord | None:
        """Return the record of a request."""
        holding = self._records.get(request_id)
        return holding.record if holding is not None else None

    def store(self, record: handovers_pb2.HandoverRecord):
        """Keep a record if there is room, and return the outcome."""
        known = self.find(record.request_id)
        if known is not None:
            if known.digest != record.digest:
                return handovers_pb2.HOLD_REUSED
            if (
                known.epoch >= record.epoch
                and known.entry_host != record.entry_host
            ):
                return handovers_pb2.HOLD_KNOWN
        holding = StoredRecord(
            record=record, retention_seconds=self._retention_seconds
        )
        self._remove(record.request_id)
        if self._used_bytes + holding.size > self._limit_bytes:
            self.prune()
        if self._used_bytes + holding.size > self._limit_bytes:
            return handovers_pb2.HOLD_FULL
        self._records[record.request_id] = holding
        self._used_bytes += holding.size
        return handovers_pb2.HOLD_HELD

    def update(self, update: handovers_pb2.UpdateRequest) -> bool:
        """Change a record; return whether it is held."""
        holding = self._records.get(update.request_id)
        if holding is None or holding.record.epoch != update.epoch:
            return False
        record = holding.record
        if update.offset > len(record.texts):
            return False
        record.version = update.version
        record.upstream = update.upstream
        record.upstream_incarnation = update.upstream_incarnation
        del record.texts[update.offset :]
        record.texts.extend(update.texts)
        self._used_bytes -= holding.size
        holding.refresh()
        self._used_bytes += holding.size
        return True

    def release(self, request_id: str, epoch: int) -> None:
        """Forget a request, unless a later host has taken it over."""
        record = self.find(request_id)
        if record is not None and record.epoch <= epoch:
            self._remove(request_id)

    def prune(self) -> None:
        """Forget what has expired."""
        for request_id, holding in list(self._records.items()):
            if holding.expired:
                self._remove(request_id)

    def _remove(self, request_id: str) -> None:
        holding = self._records.pop(request_id, None)
        if holding is not None:
            self._used_bytes -= holding.size
