"""Memory budgets: bytes that a process holds for requests and responses.

A body waits in memory until an upstream or a client takes it. All bodies of a
process share one budget, so that many long ones that come at once don't exceed
the process's memory: those for which there is no room are not read before some
is free, or refused at once.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random

from buckthornhold import reasons
from buckthornhold import settings

#: What a process has in memory without any requests, in bytes.
IDLE_BYTES = 80 << 20
#: Part of the rest that requests and responses may have. The allocator and
#: connections whose requests are refused need the remainder.
BODY_SHARE = 0.75
#: What each request takes beside its body: heads, tasks and buffers.
REQUEST_BYTES = 32 << 10
#: Bodies up to this size never wait, in bytes.
SHORT_BYTES = 64 << 10
#: Part of the budget that long bodies of requests can't take; responses have
#: no more than it.
RESERVED_SHARE = 0.25
#: Part of the room for long bodies that one workspace may have.
WORKSPACE_SHARE = 0.6
#: What connections hold of a body that is not read yet, in bytes.
UNREAD_BYTES = 256 << 10
#: How long a body waits for room at most, in seconds, and the part of its
#: request's time that it waits at most.
MAX_WAIT_SECONDS = 1.5
MAX_WAIT_SHARE = 0.25
#: Retry-After of refused requests is drawn between these, in seconds.
RETRY_AFTER_SECONDS = (0.5, 2.0)


def compute_limit(memory_bytes: int) -> int:
    """Return the bytes that bodies may have in a process of this memory."""
    return max(SHORT_BYTES, int((memory_bytes - IDLE_BYTES) * BODY_SHARE))


def make_budget(
    config: settings.Settings, count_workspaces: Callable[[], int]
) -> "MemoryBudget":
    """Return the budget of a process with these settings."""
    limit = min(config.body_budget, compute_limit(config.memory_limit))
    return MemoryBudget(limit=limit, count_workspaces=count_workspaces)


class Hold:
    """Bytes of the budget that one request or response has.

    To be released by whoever opened it. ``long_size`` are those of them that
    count against the room for long bodies. ``is_response`` tells that they
    count against the room for responses.
    """

    def __init__(
        self,
        *,
        budget: "MemoryBudget",
        workspace: str = "",
        is_response: bool = False,
    ) -> None:
        self._budget = budget
        self._workspace = workspace
        self.is_response = is_response
        self._size = 0
        self._long_size = 0

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return self._size

    @property
    def long_size(self) -> int:
        """Bytes that are held for a long body of a request."""
        return self._long_size

    @property
    def workspace(self) -> str:
        """The workspace that the bytes are held for; empty if unknown."""
        return self._workspace

    @property
    def contended(self) -> bool:
        """Whether bodies wait for room."""
        return self._budget.contended

    def try_resize(self, size: int) -> bool:
        """Hold so many bytes in all, if there is room; tell whether."""
        if size > self._size and not self._budget.has_room(self, size):
            return False
        self.set_size(size, long_size=min(size, self._long_size))
        return True

    def record(self, size: int) -> None:
        """Hold so many bytes that are in memory already."""
        self.set_size(size, long_size=min(size, self._long_size))

    async def reserve(
        self, size: int, *, seconds_left: float
    ) -> reasons.Failure | None:
        """Hold so many bytes for the body of a request.

        A long body waits for room; ``seconds_left`` is the time until its
        request's deadline. The failure ``HOST_FULL`` tells that there was none
        in time.
        """
        if size <= SHORT_BYTES:
            if self.try_resize(size):
                return None
            return self._budget.make_refusal("no room for a short body")
        return await self._budget.reserve(
            self,
            size,
            seconds=min(MAX_WAIT_SECONDS, seconds_left * MAX_WAIT_SHARE),
        )

    def release(self) -> None:
        """Hold nothing any more."""
        self.set_size(0)

    def set_size(self, size: int, *, long_size: int = 0) -> None:
        """Record the bytes that the budget has granted."""
        grown, long_grown = size - self._size, long_size - self._long_size
        self._size, self._long_size = size, long_size
        self._budget.record_change(self, grown, long_grown)


class _Waiter:
    """A body that waits for room of so many bytes in all."""

    def __init__(self, *, hold: Hold, size: int) -> None:
        self.hold = hold
        self.size = size
        self.granted = asyncio.get_running_loop().create_future()


class MemoryBudget:
    """The bytes that all requests and responses of a process may have.

    ``limit`` is in bytes. Long bodies that wait are served in their order,
    but those of a workspace that has its part hold up no others.
    ``count_workspaces`` returns how many workspaces there are.
    """

    def __init__(
        self,
        *,
        limit: int,
        count_workspaces: Callable[[], int] = lambda: 1,
    ) -> None:
        self._limit = limit
        self._long_limit = int(limit * (1 - RESERVED_SHARE))
        self._count_workspaces = count_workspaces
        self._response_limit = int(limit * RESERVED_SHARE)
        self._held = 0
        self._long_held = 0
        self._response_held = 0
        self._by_workspace: collections.Counter[str] = collections.Counter()
        self._waiting: collections.deque[_Waiter] = collections.deque()
        self._waiting_bytes = 0

    @property
    def limit(self) -> int:
        """Bytes that may be held."""
        return self._limit

    @property
    def held(self) -> int:
        """Bytes that are held."""
        return self._held

    @property
    def contended(self) -> bool:
        """Whether bodies wait for room."""
        return bool(self._waiting)

    def open(self, *, workspace: str = "") -> Hold:
        """Return a hold without bytes, for a request."""
        return Hold(budget=self, workspace=workspace)

    def open_response(self) -> Hold:
        """Return a hold without bytes, for a response."""
        return Hold(budget=self, is_response=True)

    @contextlib.contextmanager
    def hold_response(self) -> Iterator[Hold]:
        """Open a hold for a response, and release it after the block."""
        hold = self.open_response()
        try:
            yield hold
        finally:
            hold.release()

    def has_room(self, hold: Hold, size: int) -> bool:
        """Tell whether a hold may have so many bytes."""
        grown = size - hold.size
        if hold.is_response and (
            self._response_held + grown > self._response_limit
        ):
            return False
        return self._held + grown <= self._limit

    async def reserve(
        self, hold: Hold, size: int, *, seconds: float
    ) -> reasons.Failure | None:
        """Give a hold room for a long body within some seconds."""
        if not self._has_others_ahead(hold) and self._try_grant(hold, size):
            return None
        missing = size - hold.size
        if self._waiting_bytes + missing > self._long_limit:
            return self.make_refusal("too many bodies wait")
        if not hold.try_resize(min(size, max(hold.size, UNREAD_BYTES))):
            return self.make_refusal("no room for a body that waits")
        waiter = _Waiter(hold=hold, size=size)
        self._waiting.append(waiter)
        self._waiting_bytes += missing
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await waiter.granted
        except TimeoutError:
            return self.make_refusal(f"no room within {seconds:.2f} s")
        finally:
            self._waiting_bytes -= missing
            if waiter in self._waiting:
                self._waiting.remove(waiter)
                self._grant_waiting()
        return None

    def record_change(self, hold: Hold, grown: int, long_grown: int) -> None:
        """Count a hold's change, and give others what it has left."""
        self._held += grown
        if hold.is_response:
            self._response_held += grown
        self._long_held += long_grown
        self._by_workspace[hold.workspace] += long_grown
        if grown < 0 or long_grown < 0:
            self._grant_waiting()

    def make_refusal(self, detail: str) -> reasons.Failure:
        """Return the refusal of a request whose body has no room."""
        low, high = RETRY_AFTER_SECONDS
        return reasons.Failure(
            reason=reasons.Reason.HOST_FULL,
            step="read body",
            detail=(
                f"{detail}: {self._held} of {self._limit} bytes are held, "
                f"{len(self._waiting)} bodies wait"
            ),
            retry_after=random.uniform(low, high),
        )

    def _has_others_ahead(self, hold: Hold) -> bool:
        """Tell whether others wait that could get room before this one."""
        return any(
            waiter.hold is not hold
            and not self._has_its_part(waiter.hold, waiter.size)
            for waiter in self._waiting
        )

    def _try_grant(self, hold: Hold, size: int) -> bool:
        if self._long_held + size - hold.long_size > self._long_limit:
            return False
        if not self.has_room(hold, size):
            return False
        if self._has_its_part(hold, size):
            return False
        hold.set_size(size, long_size=size)
        return True

    def _has_its_part(self, hold: Hold, size: int) -> bool:
        """Tell whether a workspace would have more than its part."""
        if self._count_workspaces() < 2:
            return False
        held = self._by_workspace[hold.workspace] - hold.long_size
        return bool(held) and (
            held + size > self._long_limit * WORKSPACE_SHARE
        )

    def _grant_waiting(self) -> None:
        """Give room to those that wait, in their order."""
        for waiter in list(self._waiting):
            if waiter.granted.done():
                continue
            if self._has_its_part(waiter.hold, waiter.size):
                continue
            if not self._try_grant(waiter.hold, waiter.size):
                return
            self._waiting.remove(waiter)
            waiter.granted.set_result(None)
