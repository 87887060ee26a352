"""Entry point of the daemon on the users' platform."""

from buckthornhold import footprints
from buckthornhold import start_signals

start_signals.take()
footprints.limit_arenas()
footprints.hasten_start()

import os  # noqa: E402
import sys  # noqa: E402

from buckthornhold import relay_processes  # noqa: E402
from buckthornhold.platform import adapters  # noqa: E402

SETTINGS_VARIABLE = "BUCKTHORNHOLD_CONFIG"


def main() -> None:
    """Run the daemon with the settings file that the platform names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"{SETTINGS_VARIABLE} is not set", file=sys.stderr)
        sys.exit(relay_processes.EXIT_BAD_SETTINGS)
    relay_processes.run(path, platform=adapters.PlatformAdapter())


if __name__ == "__main__":
    main()
