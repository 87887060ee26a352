"""Start and refresh of what a host must know before it serves."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import loguru
import mode

from buckthornhold import grammars
from buckthornhold.coordination import broadcasts
from buckthornhold.coordination import changes
from buckthornhold.coordination import claims
from buckthornhold.coordination import leases
from buckthornhold.coordination import revisions

RULES_TOPIC = "rules"
#: Part of a role's term that its holder leaves unused.
ROLE_MARGIN_SHARE = 0.3


def make_revisions(
    host, *, prefix: str, adopt: Callable[[revisions.Revision], None]
) -> revisions.Revisions:
    """Return the revisions part of a host; few hosts watch the store."""
    config = host.settings
    return revisions.Revisions(
        store=host.store,
        prefix=prefix,
        watch_timeout=config.rules_watch_timeout,
        retry_interval=config.rules_retry_interval,
        adopt=adopt,
        is_watcher=lambda: host.broadcasts.is_watcher(RULES_TOPIC),
        publish=lambda: host.broadcasts.publish(RULES_TOPIC),
        logger=host.logger,
        counters=host.counters,
    )


def make_changes(host) -> changes.Changes:
    """Return the part of a host that commits changes of the rules."""
    return changes.Changes(
        store=host.store,
        known_revisions=host.revisions,
        timeout=host.settings.proposal_timeout,
        find_key=grammars.find_identity,
        find_problem=grammars.find_problem,
        publish=lambda: host.broadcasts.publish(RULES_TOPIC),
        logger=host.logger,
        counters=host.counters,
    )


def make_keeper(host, role: str) -> leases.LeaderElector:
    """Return the part of a host that seeks a role among all hosts."""
    term = host.settings.role_term
    return leases.LeaderElector(
        store=host.store,
        role=role,
        holder=f"{host.settings.host}/{host.incarnation}",
        ttl=term,
        margin=term * ROLE_MARGIN_SHARE,
        logger=host.logger,
        counters=host.counters,
    )


def make_claims(host) -> claims.Claims:
    """Return a host's part in the claims of all hosts."""
    config = host.settings

    def report(error: Exception) -> None:
        host.counters.count_event("tasks.errors")
        host.logger.bind(step="claim").error(repr(error))

    return claims.Claims(
        store=host.store,
        host=config.host,
        incarnation=host.incarnation,
        shards=config.claim_shards,
        retention=config.claim_retention,
        write_rate=config.claim_write_rate,
        timeout=config.claim_timeout,
        peer_timeout=config.claim_peer_timeout,
        list_links=host.links.list_all,
        report_error=report,
    )


class Bootstrap(mode.Service):
    """Asks peers and the store for the newest rules.

    Done once at the start, when members were looked for, and after each
    pause. A host that started while its zone is cut off from the platform
    serves by what its peers hold.
    """

    def __init__(
        self,
        *,
        held: revisions.Revisions,
        broadcast: broadcasts.Broadcasts,
        wait_joined: Callable[[], Awaitable[object]],
        timeout: float,
    ) -> None:
        super().__init__()
        self._held = held
        self._broadcast = broadcast
        self._wait_joined = wait_joined
        self._timeout = timeout
        self._asked = False
        broadcast.add_topic(
            RULES_TOPIC,
            read=self._read,
            read_version=lambda: held.current.number,
            apply=self._take,
        )

    @property
    def asked(self) -> bool:
        """Whether peers and store were asked since the start."""
        return self._asked

    async def refresh(self) -> None:
        """Ask some members and the store at once."""
        await asyncio.gather(
            self._broadcast.pull_from_random_members(RULES_TOPIC),
            self._held.refresh(),
        )

    @mode.Service.task
    async def _start_up(self) -> None:
        try:
            async with asyncio.timeout(self._timeout):
                await self._wait_joined()
                await self.refresh()
        except TimeoutError:
            loguru.logger.bind(step="start", reason="store_unavailable").info(
                f"members and store did not answer within {self._timeout:g} s"
            )
        finally:
            self._asked = True

    def _read(self) -> broadcasts.Document:
        return broadcasts.Document(
            topic=RULES_TOPIC,
            version=self._held.current.number,
            body=self._held.dump_current(),
        )

    def _take(self, document: broadcasts.Document) -> bool:
        return self._held.apply_if_newer(
            revisions.load_revision(document.body)
        )
