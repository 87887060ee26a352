"""Loads of versions by an engine's stand-in, from the weight store."""

import asyncio

import aiohttp

from buckthornhold.standins import engine_options


class VersionLoads:
    """Loads versions and lists the engine as serving them.

    Without a platform in the options a version is loaded at once.
    """

    def __init__(self, *, options: engine_options.EngineOptions) -> None:
        self._options = options
        self._loading: dict[str, asyncio.Task] = {}

    @property
    def names(self) -> list[str]:
        """The versions that are loaded or being loaded."""
        return sorted({*self._list_loaded(), *self._loading})

    def start(self, model: str, version: str) -> None:
        """Load a version, if it isn't loaded."""
        name = f"{model}@{version}"
        if name in self.names:
            return
        if not self._options.platform:
            self._add(model, version)
            return
        self._loading[name] = asyncio.create_task(
            self._load(model, version, name)
        )

    def _list_loaded(self) -> list[str]:
        return [
            f"{model}@{version}"
            for model, versions in self._options.models.items()
            for version in versions
        ]

    def _add(self, model: str, version: str) -> None:
        self._options.models.setdefault(model, []).append(version)

    async def _load(self, model: str, version: str, name: str) -> None:
        platform = f"http://{self._options.platform}"
        try:
            async with aiohttp.ClientSession() as session:
                path = f"/weights/{model}/{version}"
                async with session.get(platform + path) as answer:
                    seconds = (await answer.json())["seconds"]
                await asyncio.sleep(seconds)
                self._add(model, version)
                path = f"/hosts/{self._options.host}/serves"
                body = {"serves": self._list_loaded()}
                async with session.put(platform + path, json=body) as answer:
                    await answer.read()
        finally:
            del self._loading[name]
