"""The embedded mode: the stand-ins run inside the daemon's process.

Only this module of the product imports the stand-ins. The platform's
stand-in listens on the settings' ``platform`` address, the upstreams on free
ports of the same IP number.
"""

import mode

from buckthornhold import hosts
from buckthornhold import settings
from buckthornhold.standins import engine_options
from buckthornhold.standins import engines
from buckthornhold.standins import platforms
from buckthornhold.standins import servers
from buckthornhold.standins import services

#: Versions that every embedded engine has loaded, by model.
MODELS = {"race-desk-llm": ["v1", "v2"], "model-pool": ["v1", "v2"]}
SERVICES = ("entries-app", "order-desk")
ENGINE_COUNT = 3
HOST_CLASSES = ("on-demand", "reclaimable")


class EmbeddedStandIns(mode.Service):
    """The platform, some engines and one of each plain service."""

    def __init__(self, *, config: settings.Settings) -> None:
        super().__init__()
        self._settings = config
        self._running: list[servers.StandIn] = []

    async def on_start(self) -> None:
        """Start the upstreams, then the platform that lists them."""
        records = [self._make_entry_record()]
        for number in range(ENGINE_COUNT):
            records.append(await self._start_engine(number))
        for name in SERVICES:
            records.append(await self._start_service(name))
        platform = platforms.Platform(
            address=self._settings.platform, options={"hosts": records}
        )
        await self._start(platform)

    async def on_shutdown(self) -> None:
        """Stop all stand-ins."""
        for stand_in in reversed(self._running):
            await stand_in.stop()

    async def _start(self, stand_in: servers.StandIn) -> None:
        await stand_in.start()
        self._running.append(stand_in)

    async def _start_engine(self, number: int) -> dict:
        models = {model: list(names) for model, names in MODELS.items()}
        engine = engines.Engine(
            address=self._make_free_address(),
            options=engine_options.EngineOptions(models=models),
        )
        await self._start(engine)
        return self._make_record(
            host=f"engine-{number}",
            kind=hosts.HostKind.ENGINE,
            host_class=HOST_CLASSES[number % len(HOST_CLASSES)],
            address=engine.address,
            serves=[
                f"{model}@{version}"
                for model, versions in MODELS.items()
                for version in versions
            ],
        )

    async def _start_service(self, name: str) -> dict:
        service = services.PlainService(
            address=self._make_free_address(), options={"name": name}
        )
        await self._start(service)
        return self._make_record(
            host=f"{name}-0",
            kind=hosts.HostKind.SERVICE,
            host_class=HOST_CLASSES[0],
            address=service.address,
            serves=[name],
        )

    def _make_free_address(self) -> str:
        return f"{self._settings.platform.rpartition(':')[0]}:0"

    def _make_entry_record(self) -> dict:
        record = self._make_record(
            host=self._settings.host,
            kind=hosts.HostKind.ENTRY,
            host_class=self._settings.host_class,
            address=self._settings.listen.callers,
            serves=[],
        )
        return {**record, "peer_address": self._settings.listen.peers}

    def _make_record(
        self,
        *,
        host: str,
        kind: hosts.HostKind,
        host_class: str,
        address: str,
        serves: list[str],
    ) -> dict:
        return {
            "host": host,
            "kind": kind.value,
            "zone": self._settings.zone,
            "host_class": host_class,
            "address": address,
            "incarnation": 1,
            "serves": serves,
        }
