"""Evacuations: zones that the operator has emptied of new requests.

``scheduling.placements`` decides; here is what both interfaces do around it.
"""

from collections.abc import Iterable

from buckthornhold import hosts
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold.scheduling import placements


def adopt(
    host,
    zone_placements: placements.Placements,
    zones: Iterable[str],
    *,
    origin: str,
) -> None:
    """Set a host's evacuated zones; log and count what differs.

    ``origin`` says what orders them, for the log.
    """
    change = zone_placements.set_evacuated(zones)
    for zone in change.begun:
        host.counters.count_event("evacuations.begun")
        host.logger.bind(step="evacuate", peer=zone).warning(
            f"evacuated by {origin}, gets no new requests"
        )
    for zone in change.ended:
        host.counters.count_event("evacuations.ended")
        host.logger.bind(step="evacuate", peer=zone).warning(
            f"evacuation ended by {origin}"
        )


def adopt_rules(host, rule_set: rules.RuleSet, revision: int) -> None:
    """Evacuate the zones that the rules of a revision name."""
    adopt(
        host,
        host.upstreams.placements,
        (rule.zone for rule in rule_set.list_evacuations()),
        origin=f"rules revision {revision}",
    )


def find_refusal(
    host, kind: hosts.HostKind, name: str, rule: rules.ServeRule | None = None
) -> reasons.Failure | None:
    """Return the refusal if all that could serve a name are evacuated.

    Upstreams outside the zones and classes of ``rule`` don't count.
    """
    zones = {
        upstream.record.zone
        for upstream in host.upstreams.list_all()
        if upstream.record.kind is kind
        and name in upstream.record.serves
        and not upstream.leaving
        and not host.rules.is_drained(upstream.name)
        and (rule is None or rule.allows(upstream.record))
    }
    return host.upstreams.placements.find_refusal(zones)
