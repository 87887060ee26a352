"""Steps for malformed messages that another process sends to a host."""

import asyncio
import time

import behave

from testbed import odd_messages

#: Time in which hosts must know each other and a new configuration.
SETTLE_TIMEOUT_SECONDS = 5.0
#: Time in which a host uses what it took from a message, before it expires.
USE_SECONDS = 0.4
#: What a host logs when an error ended a task or a step of one.
ERROR_TEXTS = ("task failed", "step failed")


async def wait_settled(fleet):
    """Wait until the hosts know each other and the configuration."""
    deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
    names = {host.settings.host for host in fleet.hosts}
    for host in fleet.hosts:
        while (
            not names <= {it.host for it in host.members.list_present()}
            or host.configurations.version < fleet.version
        ):
            assert time.monotonic() < deadline, host.settings.host
            await asyncio.sleep(0.02)


@behave.given("wire: shops has a limit of {rate:d} units a second")
def set_limit(context, rate):
    fleet = context.fleet
    fleet.configure(ratePerS=rate, burst=rate)
    fleet.run(wait_settled(fleet))


@behave.when(
    "wire: another process sends {method} with {fault} to the first host"
)
def send_malformed(context, method, fault):
    fleet = context.fleet
    address = fleet.hosts[0].settings.listen.peers
    messages = odd_messages.make_messages(method, fault)
    fleet.run(odd_messages.send(address, method, messages))
    fleet.run(asyncio.sleep(USE_SECONDS))


@behave.when("wire: a third process sends a sound summary to the first host")
def send_sound(context):
    summary = odd_messages.make_summary(host="third", time_of_day=time.time())
    address = context.fleet.hosts[0].settings.listen.peers
    context.fleet.run(
        odd_messages.send(address, "Tell", [summary.SerializeToString()])
    )


@behave.when(
    "wire: another process with {fault} takes the address of the last host"
)
def replace_host(context, fault):
    fleet = context.fleet

    async def run():
        host = fleet.hosts.pop()
        await host.stop()
        address = host.settings.listen.peers
        return await odd_messages.serve_odd_peer(address, fault)

    server = fleet.run(run())
    context.add_cleanup(lambda: fleet.run(server.stop(grace=None)))


@behave.when("wire: the other hosts are killed and start again")
def restart_others(context):
    context.fleet.run(
        context.fleet.restart_hosts(count=len(context.fleet.hosts))
    )
    context.fleet.run(wait_settled(context.fleet))


@behave.then("wire: the hosts know each other")
def check_members(context):
    hosts = context.fleet.hosts
    names = {host.settings.host for host in hosts}
    for host in hosts:
        present = {it.host for it in host.members.list_present()}
        assert names <= present, present


@behave.when("another process sends {method} with {fault} to each entry host")
def send_to_each(context, method, fault):
    messages = odd_messages.make_messages(method, fault)

    async def run():
        for entry in context.fleet.entries:
            await odd_messages.send(entry.peer_address, method, messages)
        await asyncio.sleep(USE_SECONDS)

    asyncio.run(run())


@behave.then("no task of an entry host has failed")
def check_logs(context):
    for entry in context.fleet.entries:
        assert entry.running, entry.name
        log = (context.fleet.folder / f"{entry.name}.log").read_text()
        failed = [
            line
            for line in log.splitlines()
            if any(text in line for text in ERROR_TEXTS)
        ]
        assert not failed, (entry.name, failed)
