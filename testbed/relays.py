"""Relays: links between zones through the network's stand-in."""

from testbed import machines


def open_relays(
    network: machines.StandInMachine,
    zone: str,
    targets: list[tuple[str, str]],
) -> dict[str, str]:
    """Open a relay from a zone to each target in another zone.

    ``targets`` are pairs of zone and address. Returns each relay's address
    by the address of its target.
    """
    relay_addresses = {}
    for target_zone, address in targets:
        if target_zone == zone:
            continue
        body = {
            "source": zone,
            "target_zone": target_zone,
            "target": address,
        }
        response = machines.call("POST", network.address, "/relays", body)
        relay_addresses[address] = response.json()["address"]
    return relay_addresses
