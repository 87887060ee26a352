"""Fleets: entry hosts, upstreams and the platform as real processes."""

import itertools
import json
import os
import pathlib
import tempfile

from testbed import machines
from testbed import relays

UPSTREAM_PORT = 7100
PLATFORM_PORT = 7200
OPERATOR = "ann"
FLEET_NUMBERS = itertools.count()


class Fleet:
    """Starts, breaks and stops a set of machines.

    ``engine_versions`` gives versions by an engine's number in its zone,
    instead of all to each. With ``relays`` the traffic between zones and to
    the platform goes through the network's stand-in, where it can be cut.
    """

    def __init__(
        self,
        *,
        zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c"),
        entries_per_zone: int = 1,
        engines_per_zone: int = 1,
        services_per_zone: int = 1,
        model: str = "race-desk-llm",
        versions: tuple[str, ...] = ("v1",),
        engine_versions: tuple[tuple[str, ...], ...] = (),
        service: str = "entries-app",
        rules_path: str = "testbed/fleet.rules",
        engine_options: dict | None = None,
        settings: dict | None = None,
        relays: bool = False,
    ) -> None:
        self._zones = zones
        self._counts = (entries_per_zone, engines_per_zone, services_per_zone)
        self._model = model
        self._versions = versions
        self._engine_versions = engine_versions
        self._service = service
        self._rules_path = rules_path
        self._engine_options = engine_options or {}
        self._settings = settings or {}
        self._relays = relays
        self._folder = tempfile.TemporaryDirectory()
        self._kept_executions: list[dict] = []
        self.entries: list[machines.EntryMachine] = []
        self.engines: list[machines.StandInMachine] = []
        self.services: list[machines.StandInMachine] = []
        self.platform: machines.StandInMachine | None = None
        self.network: machines.StandInMachine | None = None

    @property
    def zones(self) -> tuple[str, ...]:
        """The availability zones' names."""
        return self._zones

    @property
    def folder(self) -> pathlib.Path:
        """A folder that is removed with the fleet."""
        return pathlib.Path(self._folder.name)

    @property
    def all_machines(self) -> list[machines.Machine]:
        """Every machine of the fleet."""
        stand_ins = [self.platform, self.network]
        return [
            *self.entries,
            *self.engines,
            *self.services,
            *[machine for machine in stand_ins if machine is not None],
        ]

    def start(self, *, apply_rules: bool = True) -> None:
        """Start every machine and wait until the entry hosts are ready."""
        self._make_machines()
        self._start_upstreams()
        self._start_platform()
        if self._relays:
            self._start_network()
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            machines.wait_until(
                lambda entry=entry: entry.operate("GET", "/status").status,
                what=f"{entry.name} answers operators",
            )
        if not apply_rules:
            return
        self.apply_rules(pathlib.Path(self._rules_path).read_text())
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until all entry hosts are ready and know all upstreams."""
        upstreams = len(self.engines) + len(self.services)
        for entry in self.entries:
            machines.wait_until(entry.is_ready, what=f"{entry.name} is ready")
            machines.wait_until(
                lambda entry=entry: (
                    len(entry.operate("GET", "/status").json()["upstreams"])
                    >= upstreams
                ),
                what=f"{entry.name} knows all upstreams",
            )
            machines.wait_until(
                lambda entry=entry: self._knows_peers(entry),
                what=f"{entry.name} knows all entry hosts",
            )

    def _knows_peers(self, entry: machines.EntryMachine) -> bool:
        known = entry.operate("GET", "/members").json()["members"]
        names = {member["host"] for member in known}
        return names >= {it.name for it in self.entries if it is not entry}

    def apply_rules(self, text: str, *, entry: int = 0) -> machines.Reply:
        """Propose a rules text through one entry host."""
        reply = self.entries[entry].operate("PUT", "/rules", {"text": text})
        assert reply.status == 200, reply
        return reply

    def stop(self) -> None:
        """End every machine."""
        for machine in self.all_machines:
            if machine.running:
                machine.thaw()
                machine.kill()
        self._folder.cleanup()

    def start_entry(self, entry: machines.EntryMachine) -> None:
        """Start an entry host's process, again if it had ended."""
        if entry.started:
            entry.incarnation += 1
        path = pathlib.Path(self._folder.name) / f"{entry.name}.json"
        path.write_text(json.dumps(self._make_settings(entry)))
        entry.start("buckthornhold", "--settings", str(path))

    def restart_entry(self, entry: machines.EntryMachine) -> None:
        """Start a new incarnation of an entry host and list it."""
        self.start_again([entry])
        self.wait_ready()

    def start_again(self, entries: list[machines.EntryMachine]) -> None:
        """Start new incarnations of entry hosts at once and list them."""
        for entry in entries:
            self.start_entry(entry)
            self.list_host(self._make_entry_record(entry))

    def start_engine(self, engine: machines.StandInMachine) -> None:
        """Start an engine's process, again if it had ended."""
        options = {
            "models": {self._model: self.list_versions(engine)},
            "incarnation": engine.incarnation,
            **self._engine_options,
        }
        engine.start(
            "buckthornhold.standins.engines",
            "--address",
            engine.address,
            "--options",
            json.dumps(options),
        )

    def restart_engine(self, engine: machines.StandInMachine) -> None:
        """Start a new incarnation of an engine and list it."""
        engine.incarnation += 1
        self.start_engine(engine)
        machines.wait_until(engine.is_up, what=f"{engine.name} is up")
        self.list_host(self._make_engine_record(engine))

    def make_cloud_options(self) -> dict:
        """Return what the platform can start; nothing in a plain fleet."""
        return {}

    def list_versions(self, engine: machines.StandInMachine) -> list[str]:
        """Return an engine's versions, by its number in its zone."""
        choices = self._engine_versions or (self._versions,)
        number = int(engine.name.rpartition("-")[2])
        return list(choices[number % len(choices)])

    def list_host(self, record: dict) -> None:
        """Put a host on the platform's list."""
        path = f"/hosts/{record['host']}"
        machines.call("PUT", self.platform.address, path, record)

    def unlist_host(self, machine: machines.Machine) -> None:
        """Take a host off the platform's list."""
        machines.call(
            "DELETE", self.platform.address, f"/hosts/{machine.name}"
        )

    def give_notice(self, machine: machines.Machine, seconds: float) -> None:
        """Announce the reclaim of a host."""
        machines.call(
            "POST",
            self.platform.address,
            "/notices",
            {"host": machine.name, "seconds_left": seconds},
        )

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cut zones off from each other in both directions."""
        both = [*pairs, *[(second, first) for first, second in pairs]]
        self.network.set_faults(cuts=both)

    def cut_one_way(self, source: str, target: str) -> None:
        """Lose what is sent from one zone to another, and not the reverse."""
        self.network.set_faults(cuts=[(source, target)])

    def cut_off(self, zone: str) -> None:
        """Cut a zone off from all others and from the platform."""
        others = [other for other in self._zones if other != zone]
        self.cut(*[(zone, other) for other in [*others, "platform"]])

    def heal(self) -> None:
        """End all cuts."""
        self.network.set_faults(cuts=[])

    def reset_faults(self) -> None:
        """Take all faults from the stand-ins."""
        stand_ins = [self.platform, *self.engines, *self.services]
        if self.network is not None:
            stand_ins.append(self.network)
        for machine in stand_ins:
            if machine.running:
                machine.thaw()
                machine.set_faults(**self._clean_faults[type_of(machine)])

    def list_executions(self) -> list[dict]:
        """Return all executions that the plain services recorded."""
        running = [it for it in self.services if it.running]
        return self._kept_executions + [
            execution
            for service in running
            for execution in service.get("/executions")
        ]

    def keep_executions(self, service: machines.StandInMachine) -> None:
        """Keep what a service recorded, just before it is killed."""
        service.set_faults(down=True)
        self._kept_executions += service.get("/executions")

    def _make_machines(self) -> None:
        prefix = make_prefix()
        entry_count, engine_count, service_count = self._counts
        self._numbers = iter(range(10, 255))

        def make(kind, name, zone, **kwargs):
            return kind(
                name=name,
                zone=zone,
                ip=f"{prefix}.{next(self._numbers)}",
                log_path=pathlib.Path(self._folder.name) / f"{name}.log",
                **kwargs,
            )

        for zone in self._zones:
            for number in range(entry_count):
                name = f"entry-{zone}-{number}"
                self.entries.append(make(machines.EntryMachine, name, zone))
            for number in range(engine_count):
                name = f"engine-{zone}-{number}"
                self.engines.append(
                    make(
                        machines.StandInMachine, name, zone, port=UPSTREAM_PORT
                    )
                )
            for number in range(service_count):
                name = f"service-{zone}-{number}"
                self.services.append(
                    make(
                        machines.StandInMachine, name, zone, port=UPSTREAM_PORT
                    )
                )
        self.platform = make(
            machines.StandInMachine, "platform", "platform", port=PLATFORM_PORT
        )

    def _start_upstreams(self) -> None:
        for engine in self.engines:
            self.start_engine(engine)
        for service in self.services:
            service.start(
                "buckthornhold.standins.services",
                "--address",
                service.address,
                "--options",
                json.dumps({"name": self._service}),
            )
        for machine in [*self.engines, *self.services]:
            machines.wait_until(machine.is_up, what=f"{machine.name} is up")

    def _start_platform(self) -> None:
        records = [self._make_engine_record(it) for it in self.engines]
        records += [self._make_service_record(it) for it in self.services]
        records += [self._make_entry_record(it) for it in self.entries]
        self.platform.start(
            "buckthornhold.standins.platforms",
            "--address",
            self.platform.address,
            "--options",
            json.dumps({"hosts": records, **self.make_cloud_options()}),
        )
        machines.wait_until(self.platform.is_up, what="the platform is up")
        self._clean_faults = {
            type_of(machine): machine.get("/faults")
            for machine in [self.platform, *self.engines, *self.services]
        }

    def _start_network(self) -> None:
        ip = f"{self.platform.ip.rpartition('.')[0]}.{next(self._numbers)}"
        self.network = machines.StandInMachine(
            name="network",
            zone="network",
            ip=ip,
            port=PLATFORM_PORT,
            log_path=pathlib.Path(self._folder.name) / "network.log",
        )
        self.network.start(
            "buckthornhold.standins.networks",
            "--address",
            self.network.address,
        )
        machines.wait_until(self.network.is_up, what="the network is up")
        self._clean_faults["network"] = self.network.get("/faults")
        self._translations = {
            zone: self._open_relays(zone) for zone in self._zones
        }

    def _open_relays(self, zone: str) -> dict[str, str]:
        targets = [(self.platform.zone, self.platform.address)]
        targets += [(it.zone, it.peer_address) for it in self.entries]
        targets += [
            (it.zone, it.address) for it in [*self.engines, *self.services]
        ]
        return relays.open_relays(self.network, zone, targets)

    def _make_settings(self, entry: machines.EntryMachine) -> dict:
        translations = {}
        if self._relays:
            translations = self._translations[entry.zone]
        return {
            "host": entry.name,
            "zone": entry.zone,
            "incarnation": entry.incarnation,
            "listen": {
                "callers": entry.address,
                "operators": entry.operator_address,
                "peers": entry.peer_address,
            },
            "platform": self.platform.address,
            "seeds": [it.peer_address for it in self.entries[:3]],
            "operator_tokens": {OPERATOR: machines.TOKEN},
            "translations": translations,
            **self._settings,
        }

    def _make_engine_record(self, engine: machines.StandInMachine) -> dict:
        serves = [f"{self._model}@{it}" for it in self.list_versions(engine)]
        return self._make_record(engine, "engine", serves)

    def _make_service_record(self, service: machines.StandInMachine) -> dict:
        return self._make_record(service, "service", [self._service])

    def _make_entry_record(self, entry: machines.EntryMachine) -> dict:
        record = self._make_record(entry, "entry", [])
        return {**record, "peer_address": entry.peer_address}

    def _make_record(
        self, machine: machines.Machine, kind: str, serves: list[str]
    ) -> dict:
        return {
            "host": machine.name,
            "kind": kind,
            "zone": machine.zone,
            "host_class": "reclaimable",
            "address": machine.address,
            "incarnation": machine.incarnation,
            "serves": serves,
        }


def make_prefix() -> str:
    """Return a loopback network that no other fleet uses now.

    A process has a block of 10 networks, found from its process id.
    """
    number = os.getpid() * 10 + next(FLEET_NUMBERS) % 10
    return f"127.{1 + number // 250 % 250}.{number % 250}"


def type_of(machine: machines.Machine) -> str:
    """Return the kind of stand-in by its machine's name."""
    return machine.name.partition("-")[0]
