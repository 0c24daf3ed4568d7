"""Takes an entry out of service without cutting a request."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _lookup
from guavapulley.serving import _protocols

# Callers that use their connections see `Connection: close` within this time.
CLOSE_GRACE_S = 1.0


async def shut_down(
    member: _protocols.Member,
    server: _protocols.StoppableServer,
    events: ports.EventLog,
    *,
    lifetime_s: float = _lookup.LOOKUP_LIFETIME_S,
    grace_s: float = CLOSE_GRACE_S,
) -> None:
    """Stops an entry; returns when every request has been answered.

    Args:
        member: Tells the other entries, so that lookups omit this one.
        server: Server of the callers.
        events: Receives the steps.
        lifetime_s: Time for which callers may still use older lookups.
        grace_s: Time for asking callers to close kept connections.
    """
    events.write("entry:leaving")
    member.set_state(model.EntryState.LEAVING)
    await trio.sleep(lifetime_s)
    events.write("entry:closing")
    server.ask_to_close()
    await trio.sleep(grace_s)
    await server.stop()
    events.write("entry:stopped")
