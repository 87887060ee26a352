"""The users' platform as a relay host needs it."""

from buckthornhold import relay_platforms
from buckthornhold.platform import configurations
from buckthornhold.platform import fenced_clients
from buckthornhold.platform import ingress
from buckthornhold.platform import rollouts
from buckthornhold.platform import stores
from buckthornhold.platform import upstream_clients
from buckthornhold.platform import upstream_entries


class PlatformAdapter(relay_platforms.Platform):
    """Makes the clients and servers that speak the platform's protocol."""

    configuration_key = configurations.KEY
    configuration_prefix = configurations.PREFIX
    directory_prefix = upstream_entries.PREFIX

    def make_store(self, session, config):
        """Return the client of the platform's store."""
        return stores.PlatformStore(
            session=session,
            address=config.platform,
            timeout=config.platform_timeout,
        )

    def decode_configuration(self, text):
        """Read the operator's document; raise ValueError if it is none."""
        return configurations.decode(text)

    def decode_upstream(self, name, text):
        """Read a worker's entry; raise ValueError if it names none."""
        return upstream_entries.decode(name, text)

    def decode_move(self, entry):
        """Read a roll-out order; None if the entry is something else."""
        return rollouts.decode(entry)

    def encode_move(self, progress):
        """Return the key and the text of a roll-out's status."""
        return rollouts.encode(progress)

    def make_upstream_session(self):
        """Return the session for requests to workers."""
        return upstream_clients.make_session()

    def make_upstream_client(self, session):
        """Return the client that sends requests to workers."""
        return upstream_clients.PlatformUpstreamClient(session=session)

    def make_duty_calls(self, session, config):
        """Return the client of the calls that one host makes."""
        return fenced_clients.PlatformFencedClient(
            session=session, address=config.cloud, holder=config.host
        )

    def make_caller_server(self, host):
        """Return the server of callers' requests."""
        return ingress.Ingress(host=host).make_server()

    def make_ready_server(self, host):
        """Return the server of the balancer's questions."""
        return ingress.make_ready_server(host)
