"""Links between the processes of a deployment."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.deployment._layout import Layout
from bergamotcart_testkit.relay import LinkAddress, LinkSettings

CALLERS = 'callers'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A listening address of a process."""

    process: str
    port: str
    availability_zone: str
    address: Address


@dataclass(slots=True)
class Network:
    """Reserved addresses, and a link from each other availability zone to each endpoint.

    A process connects to the endpoints of its own availability zone directly. The links of a
    source are named ``source>destination:process:port``.
    """

    layout: Layout
    free_addresses: Iterator[Address]
    endpoints: list[Endpoint] = field(default_factory=list)
    _links: dict[str, list[LinkAddress]] = field(default_factory=dict)
    _translations: dict[str, dict[str, str]] = field(default_factory=dict)

    def reserve_endpoint(self, process: str, port: str, availability_zone: str) -> Address:
        """Reserve an endpoint, with links from every other availability zone."""
        endpoint = Endpoint(process, port, availability_zone, next(self.free_addresses))
        self.endpoints.append(endpoint)
        for source in self.layout.availability_zones:
            if source != availability_zone:
                self._add_link(source, endpoint)
        return endpoint.address

    def reserve_caller_endpoint(
        self, process: str, availability_zone: str
    ) -> tuple[Address, Address]:
        """Reserve an endpoint for callers.

        :returns: the listening address and the one that callers connect to.
        """
        endpoint = Endpoint(process, 'mysql', availability_zone, next(self.free_addresses))
        self.endpoints.append(endpoint)
        return endpoint.address, self._add_link(CALLERS, endpoint)

    def links_from(self, source: str) -> list[LinkAddress]:
        """Return the links of a source."""
        return self._links.get(source, [])

    def translation_options(self, availability_zone: str) -> tuple[str, ...]:
        """Return the options that route connections of an availability zone through the links."""
        pairs = self._translations.get(availability_zone, {})
        options = (('--address-translation', f'{old}={new}') for old, new in pairs.items())
        return tuple(part for pair in options for part in pair)

    def address_from(self, availability_zone: str, address: Address) -> str:
        """Return the address that processes of an availability zone use to reach ``address``."""
        return self._translations.get(availability_zone, {}).get(str(address), str(address))

    def link_settings(self, source: str) -> LinkSettings:
        """Return the fault-free settings of the links of a source."""
        layout = self.layout
        if source == CALLERS:
            return LinkSettings(delay=layout.caller_delay)
        return LinkSettings(delay=layout.zone_delay, jitter=layout.zone_jitter)

    def _add_link(self, source: str, endpoint: Endpoint) -> Address:
        relay_address = next(self.free_addresses)
        name = f'{source}>{endpoint.availability_zone}:{endpoint.process}:{endpoint.port}'
        target = str(endpoint.address)
        link = LinkAddress(name=name, listen=str(relay_address), target=target)
        self._links.setdefault(source, []).append(link)
        self._translations.setdefault(source, {})[target] = str(relay_address)
        return relay_address
