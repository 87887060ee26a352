"""Adapters: implement a relay host's platform for the users' platform."""

from buckthornhold import relay_platforms
from buckthornhold.platform import configurations
from buckthornhold.platform import evacuations
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

    def make_store(self, session, config, eras=None):
        """Return the client of the platform's store."""
        return stores.PlatformStore(
            session=session,
            address=config.platform,
            timeout=config.platform_timeout,
            eras=eras,
        )

    def decode_configuration(self, text):
        """Decode the operator's document; raise ValueError if invalid."""
        return configurations.decode(text)

    def decode_upstream(self, name, text):
        """Decode an upstream's entry; raise ValueError if invalid."""
        return upstream_entries.decode(name, text)

    def decode_move(self, entry):
        """Decode a rollout order; return None for any other entry."""
        return rollouts.decode(entry)

    def encode_move(self, progress):
        """Return the key and the text of a rollout's status."""
        return rollouts.encode(progress)

    def decode_evacuation(self, key):
        """Return the zone that a key evacuates; None for any other key."""
        return evacuations.decode(key)

    def make_upstream_session(self):
        """Return the HTTP session for requests to upstreams."""
        return upstream_clients.make_session()

    def make_upstream_client(self, session, memory):
        """Return the client that sends requests to upstreams."""
        return upstream_clients.PlatformUpstreamClient(
            session=session, memory=memory
        )

    def make_duty_calls(self, session, config):
        """Return the client of the calls that only the holder may make."""
        return fenced_clients.PlatformFencedClient(
            session=session, address=config.cloud, holder=config.host
        )

    def make_caller_server(self, host):
        """Return the HTTP server for callers."""
        return ingress.Ingress(host=host).make_server()

    def make_ready_server(self, host):
        """Return the HTTP server for the load balancer's readiness checks."""
        return ingress.make_ready_server(host)
