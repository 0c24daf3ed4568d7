"""Clients of peers by address."""

import trio

from guavapulley import model
from guavapulley import ports


class Connections:
    """Keeps one client for each address."""

    def __init__(self, dialer: ports.PeerDialer) -> None:
        self.dialer = dialer
        self.clients: dict[model.NodeAddress, ports.PeerClient] = {}

    def client(self, address: model.NodeAddress) -> ports.PeerClient:
        """Returns the client for an address."""
        if address not in self.clients:
            self.clients[address] = self.dialer.dial(address)
        return self.clients[address]

    async def aclose(self) -> None:
        """Closes all clients."""
        with trio.CancelScope(shield=True):
            for client in self.clients.values():
                await client.aclose()
        self.clients.clear()
