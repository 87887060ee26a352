"""Tracked requests: the poison guard's state of requests in flight."""

import asyncio
import dataclasses
import weakref

from buckthornhold import prompt_parts
from buckthornhold import request_contracts
from buckthornhold.coordination import poison_detectors


@dataclasses.dataclass(kw_only=True, eq=False)
class TrackedRequest:
    """The poison guard's state of one request in flight on this host.

    ``parts`` are the digests of the messages that other chats may share.
    ``known_crashes`` are the crashes that it was suspected of when its last
    attempt began. ``isolated_upstream`` is the upstream that it is sent to
    alone, as a suspect. ``held_until`` is on the monotonic clock, in seconds;
    0 before it waits. ``upstream_check`` is the check that its next attempt
    waits for.
    """

    fingerprint: str
    request_id: str
    parts: tuple[str, ...] = ()
    known_crashes: tuple[str, ...] = ()
    upstream_crashed: bool = False
    sent: bool = False
    isolated_upstream: str = ""
    held_until: float = 0.0
    upstream_check: asyncio.Task | None = None


class RequestTracker:
    """Tracks the requests in flight, as long as their contracts exist."""

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
        """Return the request of a contract; add it if it is not tracked."""
        request = self._by_contract.get(contract)
        if request is None:
            request = TrackedRequest(
                fingerprint=poison_detectors.make_fingerprint(
                    contract.route, prompt
                ),
                request_id=contract.request_id,
                parts=prompt_parts.list_shared(
                    contract.route, prompt_parts.split_messages(prompt)
                ),
            )
            self._by_contract[contract] = request
            self._by_id[contract.request_id] = request
        return request

    def find(
        self, contract: request_contracts.RequestContract
    ) -> TrackedRequest | None:
        """Return the request of a contract, or None if it isn't tracked."""
        return self._by_contract.get(contract)

    def find_id(self, request_id: str) -> TrackedRequest | None:
        """Return the request with an id, or None if it isn't tracked."""
        return self._by_id.get(request_id)
