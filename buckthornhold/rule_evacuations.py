"""Rule evacuations: zones that the operators' rules evacuate.

Apart from ``evacuations``, so that relay hosts, which know no rules, don't
load the modules of these when they start.
"""

from buckthornhold import evacuations
from buckthornhold import hosts
from buckthornhold import reasons
from buckthornhold import rules


def adopt_rules(host, rule_set: rules.RuleSet, revision: int) -> None:
    """Evacuate the zones that the rules of a revision name."""
    evacuations.adopt(
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
