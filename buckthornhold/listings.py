"""The platform's host list, read by few hosts and passed on to the rest."""

from collections.abc import Callable
import random
import time

from buckthornhold import differences
from buckthornhold import hosts
from buckthornhold import reasons
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import members
from buckthornhold.coordination import pause_detectors

TOPIC = "hosts"
CHECK_TOPIC = "hosts.checked"
#: Seconds without word of a reading of the list before a host reads itself.
STALE_AFTER = 10.0
#: Seconds between two readings by a host that is not chosen to read.
FALLBACK_INTERVAL = 8.0
#: Share of the interval that lies between two readings at least.
LEAST_WAIT = 0.5


class SharedHostList(hosts.HostList):
    """Reads the list where this host is a watcher, else waits for news.

    Watchers tell with each probe when the list was last read, as seconds
    since the epoch on their clocks; only its rising counts. What changed is
    passed on; the whole list goes to hosts that had another one before.
    """

    def __init__(
        self,
        *,
        inner: hosts.HostList,
        table: members.MemberTable,
        broadcast: broadcasts.Broadcasts,
        notify: Callable[[hosts.Listing], None],
        clock: Callable[[], float] = pause_detectors.read_boot_clock,
    ) -> None:
        self._inner = inner
        self._broadcast = broadcast
        self._notify = notify
        self._clock = clock
        self._contents: differences.Contents | None = None
        self._listing: hosts.Listing | None = None
        self._news: broadcasts.Document | None = None
        self._version = 0
        #: The last reading, and the version that it was compared with.
        self._compared: tuple[hosts.Listing | None, int] = (None, 0)
        self._listed_at = 0.0
        self._checked = 0
        self._checked_at = -STALE_AFTER
        self._next_fallback = 0.0
        broadcast.add_topic(
            TOPIC,
            read=self._read,
            read_delta=lambda: self._news,
            read_version=lambda: self._version,
            read_digest=lambda: self._contents and self._contents.digest,
            apply=self._take,
        )
        table.add_topic(
            CHECK_TOPIC,
            read_version=lambda: self._checked,
            on_behind=lambda member, version: self._hear_check(version),
        )

    async def fetch(self) -> hosts.Listing | reasons.Failure:
        """Return the hosts and the notices that are listed now.

        It is the same object as before while nothing changes and no notice
        runs down.
        """
        if self._broadcast.is_watcher(TOPIC):
            return await self._fetch_inner()
        now = self._clock()
        fresh = now - self._checked_at < STALE_AFTER
        if (fresh or now < self._next_fallback) and self._contents is not None:
            self._age_notices()
            return self._listing
        if now < self._next_fallback:
            return reasons.Failure(
                reason=reasons.Reason.STORE_UNAVAILABLE,
                step="host list",
                detail="no host of the zone has read it",
            )
        self._next_fallback = now + FALLBACK_INTERVAL * random.uniform(0.5, 1)
        return await self._fetch_inner()

    def find_wait(self, interval: float) -> float:
        """Return the seconds until the next fetch.

        The watchers of all zones read in turn, so that a change is read
        long before one interval is over.
        """
        part = self._broadcast.find_phase(TOPIC)
        if part is None:
            return super().find_wait(interval)
        left = interval * ((part - time.time() / interval) % 1.0)
        return left if left > LEAST_WAIT * interval else left + interval

    def expire(self) -> None:
        """Read the list at the next fetch, after a pause of the process."""
        self._checked_at = -STALE_AFTER
        self._next_fallback = 0.0

    async def _fetch_inner(self) -> hosts.Listing | reasons.Failure:
        listing = await self._inner.fetch()
        if isinstance(listing, reasons.Failure):
            return listing
        self._hear_check(max(int(time.time()), self._checked + 1))
        last, version = self._compared
        if listing is not last or version != self._version:
            self._compare(listing)
        return listing if listing.notices else self._listing

    def _compare(self, listing: hosts.Listing) -> None:
        """Keep what a reading has changed and pass it on."""
        contents = self._contents or differences.Contents()
        difference = contents.compare(listing)
        if difference or self._contents is None:
            self._keep(contents, difference)
            self._broadcast.publish(TOPIC)
        self._compared = (listing, self._version)

    def _keep(
        self,
        contents: differences.Contents,
        difference: differences.Difference,
    ) -> None:
        """Take in what the platform's list has changed."""
        version = max(int(time.time() * 1000), self._version + 1)
        first = self._contents is None
        base = contents.digest
        self._contents = contents
        self._change(difference)
        self._version = version
        self._news = None
        if not first:
            self._news = broadcasts.Document(
                topic=TOPIC,
                version=version,
                body=difference.dump(),
                base=base,
                digest=contents.digest,
            )

    def _change(self, difference: differences.Difference) -> None:
        self._age_notices()
        self._contents.apply(difference)
        self._listing = self._contents.listing

    def _age_notices(self) -> None:
        now = self._clock()
        if self._listing is not None and self._listing.notices:
            self._contents.age_notices(now - self._listed_at)
            self._listing = self._contents.listing
        self._listed_at = now

    def _hear_check(self, checked: int) -> None:
        self._checked = checked
        self._checked_at = self._clock()

    def _read(self) -> broadcasts.Document:
        """Return the whole list."""
        if self._contents is None:
            return broadcasts.Document(topic=TOPIC, version=0, body="")
        self._age_notices()
        return broadcasts.Document(
            topic=TOPIC,
            version=self._version,
            body=differences.dump_listing(self._listing),
            digest=self._contents.digest,
        )

    def _take(self, document: broadcasts.Document) -> bool:
        if document.version <= self._version:
            return False
        self._version = document.version
        self._news = None
        if self._contents is None:
            self._contents = differences.Contents()
        elif document.digest == self._contents.digest:
            return True
        if document.base is None:
            listing = differences.load_listing(document.body)
            self._change(self._contents.compare(listing))
        else:
            self._change(differences.load_difference(document.body))
        self._notify(self._listing)
        return True
