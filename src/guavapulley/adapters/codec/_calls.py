"""Handling of peer calls and replies that all transports share."""

from guavapulley import errors
from guavapulley import model
from guavapulley import ports


async def handle_call(
    handler: ports.PeerHandler, request: object, events: ports.EventLog
) -> model.PeerMessage:
    """Handles a decoded call; returns an error reply if it fails.

    Args:
        handler: Handles the call.
        request: The decoded call, whose origin the transport has checked.
        events: Receives unexpected failures.
    """
    try:
        return await handler.handle(request)  # type: ignore[arg-type]
    except errors.GuavapulleyError as error:
        return make_error_reply(error)
    except Exception as error:  # a failed call must not end others
        events.write("peer:call_failed", reason=repr(error))
        return model.ErrorReply(ports.INTERNAL_ERROR, "the call failed")


def make_error_reply(error: errors.GuavapulleyError) -> model.ErrorReply:
    """Returns the reply that reports an error to a peer."""
    details = {key: str(value) for key, value in error.details.items()}
    return model.ErrorReply(error.code, error.message, details)


def unwrap_reply(reply: object) -> model.PeerMessage:
    """Returns a decoded reply unless it is an error reply.

    Raises:
        PeerReplyError: The reply is an error reply.
    """
    if isinstance(reply, model.ErrorReply):
        raise ports.PeerReplyError(reply.code, reply.message, **reply.details)
    # A process of the cluster created the reply to this call, so it is a peer
    # message.
    return reply  # type: ignore[return-value]
