"""Watched requests: what is known of those in flight, by their contracts."""

import asyncio
import dataclasses
import weakref

from buckthornhold import request_contracts
from buckthornhold.coordination import poison_detectors


@dataclasses.dataclass(kw_only=True, eq=False)
class TrackedRequest:
    """What is known of one request in flight on this host.

    ``trial`` names the upstream on which it runs apart from other suspects.
    ``held_until`` is on the monotonic clock, in seconds; 0 before it waits.
    """

    fingerprint: str
    request_id: str
    known_crashes: tuple[str, ...] = ()
    upstream_crashed: bool = False
    sent: bool = False
    isolated_upstream: str = ""
    held_until: float = 0.0
    examination: asyncio.Task | None = None


class RequestTracker:
    """The requests in flight; they go when their contracts do."""

    def __init__(self) -> None:
        self._by_contract: weakref.WeakKeyDictionary[
            request_contracts.RequestContract, TrackedRequest
        ] = weakref.WeakKeyDictionary()
        self._by_id: weakref.WeakValueDictionary[str, TrackedRequest] = (
            weakref.WeakValueDictionary()
        )

    def add(
        self, contract: request_contracts.RequestContract, prompt: str
    ) -> TrackedRequest:
        """Return the request of a contract, a new one if it isn't known."""
        request = self._by_contract.get(contract)
        if request is None:
            request = TrackedRequest(
                fingerprint=poison_detectors.make_fingerprint(
                    contract.route, prompt
                ),
                request_id=contract.request_id,
            )
            self._by_contract[contract] = request
            self._by_id[contract.request_id] = request
        return request

    def find(
        self, contract: request_contracts.RequestContract
    ) -> TrackedRequest | None:
        """Return the request of a contract, if it is known."""
        return self._by_contract.get(contract)

    def find_id(self, request_id: str) -> TrackedRequest | None:
        """Return the request with an id, if it is known."""
        return self._by_id.get(request_id)
