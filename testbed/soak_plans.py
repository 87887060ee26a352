"""Soak plans: seeded faults over relay hosts, in series and overlapping."""

import dataclasses
import random

#: Faults of processes, of links and of the store; the target says which.
HOST_KINDS = ("kill", "stop", "freeze", "reload", "step clock")
LINK_KINDS = ("delay", "reset", "silence", "cut to", "cut from")
STORE_KINDS = ("down", "lost answers", "forget history", "slow")
UPSTREAM_KINDS = (
    "crash",
    "drain",
    "swap address",
    "slow answers",
    "odd answers",
)
OPERATOR_KINDS = ("revoke key", "new configuration")
#: How often each group is drawn, and what its faults are brought over.
GROUPS = (
    ("host", HOST_KINDS, 5),
    ("store link", LINK_KINDS, 2),
    ("upstream link", LINK_KINDS, 3),
    ("caller link", LINK_KINDS, 1),
    ("store", STORE_KINDS, 2),
    ("upstream", UPSTREAM_KINDS, 4),
    ("operator", OPERATOR_KINDS, 2),
)
#: Faults of the network between hosts. They are drawn apart, so that the
#: others of a seed stay what they were before there were these.
NETWORK_GROUPS = (
    ("peer link", LINK_KINDS, 2),
    ("zone", ("silence", "reset"), 1),
)
NETWORK_PAUSES = (1.0, 6.0)
#: Faults of connections that are open, drawn apart for the same reason.
SILENCE_KINDS = ("silence open",)
SILENCE_GROUPS = (
    ("store link", SILENCE_KINDS, 1),
    ("upstream link", SILENCE_KINDS, 1),
    ("peer link", SILENCE_KINDS, 1),
)
SILENCE_PAUSES = (2.0, 8.0)
#: What upstreams say of themselves in their answers, drawn apart as well.
ANNOUNCED_GROUPS = (("upstream", ("says it leaves", "wants a pause"), 1),)
ANNOUNCED_PAUSES = (2.0, 8.0)
#: Hosts of upstreams that lose power, drawn apart as well.
DARK_GROUPS = (("upstream", ("goes dark",), 1),)
DARK_PAUSES = (2.0, 8.0)
#: Drills in which the store goes back to a copy, drawn apart as well.
COPY_GROUPS = (("store copy", ("restore",), 1),)
COPY_PAUSES = (2.0, 9.0)
#: Age of the copies, in seconds.
COPY_AGES = (0.5, 10.0)
#: How long faults last, in seconds, and the time between their beginnings:
#: shorter than they last, so that most overlap another one.
LENGTHS = (0.4, 4.0)
PAUSES = (0.2, 1.8)
#: Every so many plans all hosts are killed, or told to stop, at once.
ALL_HOSTS_EACH = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakFault:
    """One fault; ``start`` and ``length`` are in seconds.

    ``target`` counts through what its group is brought over.
    """

    group: str
    kind: str
    start: float
    length: float
    target: int

    @property
    def ends(self) -> float:
        """When it is mended, in seconds from the beginning."""
        return self.start + self.length


def plan_faults(*, seed: int, seconds: float) -> list[SoakFault]:
    """Return the faults of a seed that begin within ``seconds``."""
    rng = random.Random(f"soak {seed}")
    faults = _draw(rng, GROUPS, PAUSES, seconds)
    if seed % ALL_HOSTS_EACH == 0:
        faults.append(
            SoakFault(
                group="all hosts",
                kind=rng.choice(("kill", "stop")),
                start=seconds,
                length=rng.uniform(*LENGTHS),
                target=0,
            )
        )
    network = random.Random(f"soak network {seed}")
    faults += _draw(network, NETWORK_GROUPS, NETWORK_PAUSES, seconds)
    silence = random.Random(f"soak silence {seed}")
    faults += _draw(silence, SILENCE_GROUPS, SILENCE_PAUSES, seconds)
    announced = random.Random(f"soak announced {seed}")
    faults += _draw(announced, ANNOUNCED_GROUPS, ANNOUNCED_PAUSES, seconds)
    dark = random.Random(f"soak dark {seed}")
    faults += _draw(dark, DARK_GROUPS, DARK_PAUSES, seconds)
    copies = random.Random(f"soak copies {seed}")
    faults += _draw(copies, COPY_GROUPS, COPY_PAUSES, seconds)
    return sorted(faults, key=lambda it: it.start)


def _draw(rng, groups, pauses, seconds: float) -> list[SoakFault]:
    weights = [weight for *_, weight in groups]
    faults = []
    start = rng.uniform(*pauses)
    while start < seconds:
        group, kinds, _ = rng.choices(groups, weights)[0]
        faults.append(
            SoakFault(
                group=group,
                kind=rng.choice(kinds),
                start=start,
                length=rng.uniform(*LENGTHS),
                target=rng.randrange(1000),
            )
        )
        start += rng.uniform(*pauses)
    return faults


def drop_clashes(faults: list[SoakFault]) -> list[SoakFault]:
    """Leave out faults of a group and target that has one already.

    A process can't be told to stop while it is frozen, nor killed twice.
    """
    kept: list[SoakFault] = []
    for fault in faults:
        clash = any(
            it.group == fault.group
            and it.target == fault.target
            and it.ends > fault.start
            for it in kept
        )
        if not clash:
            kept.append(fault)
    return kept
