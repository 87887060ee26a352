"""Boot clocks: a bench's own time in place of the machine's."""

from buckthornhold.coordination import pause_detectors


def use_bench_clock(context, read):
    """Have ``read`` return the boot clock until the scenario ends."""
    original = pause_detectors.read_boot_clock
    pause_detectors.read_boot_clock = read
    context.add_cleanup(setattr, pause_detectors, "read_boot_clock", original)
