"""Fleets whose platform can start more engines."""

import itertools
import json

from testbed import fleets
from testbed import machines

PRICES = {"reclaimable": 1.0, "on-demand": 3.0}
RULE = (
    "capacity model=race-desk-llm version=v1 load={load} least={least} "
    "most={most}  # asked by: J. Ali, race desk\n"
)
SETTINGS = {
    "provision_interval": 0.3,
    "provision_window": 2.0,
    "provision_start_timeout": 20.0,
    "provision_refusal_pause": 1.0,
    "role_term": 2.0,
    "order_flight": 0.3,
    "host_list_interval": 0.3,
}
#: Spare engines in each zone, by class.
SPARES_PER_CLASS = {"reclaimable": 2, "on-demand": 1}


class SpareFleet(fleets.Fleet):
    """A fleet with spare engines in each zone that can be ordered."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self.spares: list[machines.StandInMachine] = []
        self._classes: dict[str, str] = {}

    @property
    def all_machines(self) -> list[machines.Machine]:
        """Every machine of the fleet."""
        return [*super().all_machines, *self.spares]

    def make_cloud_options(self) -> dict:
        """Start the spare engines and return them with the offers."""
        self._start_spares()
        return {
            "offers": [
                {
                    "zone": zone,
                    "host_class": host_class,
                    "reclaimable": host_class == "reclaimable",
                    "price": price,
                }
                for zone in self.zones
                for host_class, price in PRICES.items()
            ],
            "spares": [
                {
                    "host": spare.name,
                    "kind": "engine",
                    "zone": spare.zone,
                    "host_class": self._classes[spare.name],
                    "address": spare.address,
                    "incarnation": 1,
                    "serves": [],
                }
                for spare in self.spares
            ],
        }

    def _start_spares(self) -> None:
        prefix = self.platform.ip.rpartition(".")[0]
        for zone, host_class in itertools.product(
            self.zones, SPARES_PER_CLASS
        ):
            for number in range(SPARES_PER_CLASS[host_class]):
                self._start_spare(
                    prefix, zone, host_class, f"{host_class}-{number}"
                )
        for spare in self.spares:
            machines.wait_until(spare.is_up, what=f"{spare.name} is up")

    def _start_spare(
        self, prefix: str, zone: str, host_class: str, suffix: str
    ) -> None:
        name = f"engine-{zone}-{suffix}"
        spare = machines.StandInMachine(
            name=name,
            zone=zone,
            ip=f"{prefix}.{next(self._numbers)}",
            port=fleets.UPSTREAM_PORT,
            log_path=self.folder / f"{name}.log",
        )
        self.spares.append(spare)
        self._classes[name] = host_class
        options = {
            "models": {},
            "platform": self.platform.address,
            "host": name,
        }
        spare.start(
            "buckthornhold.standins.engines",
            "--address",
            spare.address,
            "--options",
            json.dumps(options),
        )
