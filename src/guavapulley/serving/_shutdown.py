"""Shutdown of an entry without aborting a request."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _lookup
from guavapulley.serving import _protocols

# Callers that use their persistent connections receive `Connection: close`
# within this time.
CLOSE_GRACE_S = 1.0


async def shut_down(
    member: _protocols.Member,
    server: _protocols.StoppableServer,
    events: ports.EventLog,
    *,
    lookup_lifetime_s: float = _lookup.LOOKUP_LIFETIME_S,
    grace_s: float = CLOSE_GRACE_S,
) -> None:
    """Stops an entry and returns when every request has been answered.

    Args:
        member: Informs the other entries, so that lookups omit this one.
        server: Server of the connections of callers.
        events: Receives the phases of the shutdown.
        lookup_lifetime_s: Seconds for which callers may still use results of
            earlier lookups.
        grace_s: Seconds for which answers tell callers to close their
            connections, before the server stops.
    """
    events.write("entry:leaving")
    member.set_state(model.EntryState.LEAVING)
    await trio.sleep(lookup_lifetime_s)
    events.write("entry:closing")
    server.disable_keep_alive()
    await trio.sleep(grace_s)
    await server.stop()
    events.write("entry:stopped")
