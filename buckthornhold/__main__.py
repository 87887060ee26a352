"""Entry point of the daemon."""

from buckthornhold import footprints

footprints.reduce()

from buckthornhold import processes  # noqa: E402


def main() -> None:
    """Read the settings and serve."""
    processes.main()


if __name__ == "__main__":
    main()
