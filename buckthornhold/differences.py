"""Differences of the host list, so that news costs what has changed."""

import dataclasses
import hashlib
import json

from buckthornhold import hosts

DIGEST_BYTES = 8

#: Host name and incarnation.
Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """What is to be changed in one list to get another.

    ``records`` and ``notices`` are new or changed ones; ``gone`` and ``ended``
    name hosts and notices that are listed no more.
    """

    records: tuple[hosts.HostRecord, ...] = ()
    gone: tuple[Key, ...] = ()
    notices: tuple[hosts.Notice, ...] = ()
    ended: tuple[Key, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.records or self.gone or self.notices or self.ended)

    def dump(self) -> str:
        """Return the difference as JSON."""
        return json.dumps(
            {
                "changed": [_dump_record(it) for it in self.records],
                "gone": self.gone,
                "noticed": [it.model_dump(mode="json") for it in self.notices],
                "ended": self.ended,
            }
        )


def load_difference(text: str) -> Difference:
    """Read what ``Difference.dump`` wrote."""
    values = json.loads(text)
    return Difference(
        records=tuple(hosts.HostRecord(**it) for it in values["changed"]),
        gone=tuple((name, number) for name, number in values["gone"]),
        notices=tuple(hosts.Notice(**it) for it in values["noticed"]),
        ended=tuple((name, number) for name, number in values["ended"]),
    )


def dump_listing(listing: hosts.Listing) -> str:
    """Return a whole list as JSON."""
    return json.dumps(
        {
            "hosts": [_dump_record(it) for it in listing.hosts],
            "notices": [it.model_dump(mode="json") for it in listing.notices],
        }
    )


def load_listing(text: str) -> hosts.Listing:
    """Read what ``dump_listing`` wrote."""
    values = json.loads(text)
    return hosts.Listing(
        hosts=tuple(hosts.HostRecord(**it) for it in values["hosts"]),
        notices=tuple(hosts.Notice(**it) for it in values["notices"]),
    )


class Contents:
    """A host list that is changed by differences and knows its digest.

    Equal lists have equal digests, in whatever order their hosts are. The
    seconds that a notice leaves run down and are no part of it.
    """

    def __init__(self) -> None:
        self._hosts: dict[Key, hosts.HostRecord] = {}
        self._notices: dict[Key, hosts.Notice] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Digest of the hosts and the notices."""
        return self._digest

    @property
    def listing(self) -> hosts.Listing:
        """The list as a whole."""
        return hosts.Listing(
            hosts=tuple(self._hosts.values()),
            notices=tuple(self._notices.values()),
        )

    def compare(self, listing: hosts.Listing) -> Difference:
        """Return what changed from these contents to a listing."""
        found = {_find_key(it): it for it in listing.hosts}
        noticed = {_find_key(it): it for it in listing.notices}
        return Difference(
            records=tuple(
                record
                for key, record in found.items()
                if _differ(self._hosts.get(key), record)
            ),
            gone=tuple(key for key in self._hosts if key not in found),
            notices=tuple(
                notice
                for key, notice in noticed.items()
                if key not in self._notices
            ),
            ended=tuple(key for key in self._notices if key not in noticed),
        )

    def apply(self, difference: Difference) -> None:
        """Change what a difference names."""
        for key in difference.gone:
            self._toggle_host(self._hosts.pop(key, None))
        for record in difference.records:
            key = _find_key(record)
            self._toggle_host(self._hosts.get(key))
            self._toggle_host(record)
            self._hosts[key] = record
        for key in difference.ended:
            if self._notices.pop(key, None) is not None:
                self._digest ^= _hash("notice", *key)
        for notice in difference.notices:
            key = _find_key(notice)
            if key not in self._notices:
                self._digest ^= _hash("notice", *key)
            self._notices[key] = notice

    def age_notices(self, seconds: float) -> None:
        """Let the notices run down by a time."""
        for key, notice in self._notices.items():
            left = max(0.0, notice.seconds_left - seconds)
            self._notices[key] = notice.model_copy(
                update={"seconds_left": left}
            )

    def _toggle_host(self, record: hosts.HostRecord | None) -> None:
        if record is not None:
            self._digest ^= _hash("host", record.model_dump_json())


def _differ(old: hosts.HostRecord | None, new: hosts.HostRecord) -> bool:
    """Tell whether records differ; those of one list are mostly the same."""
    return old is not new and old != new


def _find_key(item: hosts.HostRecord | hosts.Notice) -> Key:
    return (item.host, item.incarnation)


def _dump_record(record: hosts.HostRecord) -> dict:
    return record.model_dump(mode="json", exclude_defaults=True)


def _hash(*words) -> int:
    digest = hashlib.blake2b(
        json.dumps(words).encode(), digest_size=DIGEST_BYTES
    )
    return int.from_bytes(digest.digest())
