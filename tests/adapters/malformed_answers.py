"""Bytes that are no answer of an upstream, for the tests of clients."""

import socket
import struct

# Far below the deadlines of requests, and bearable beside other load.
AT_ONCE_S = 5.0
# Options of a socket whose close is a reset.
RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
STATUS_LINES = (
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 000 ",
    b"HTTP/1.1 000",
    b"HTTP/1.1 001 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 0200 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1 +20 X",
    b"HTTP/1.1 2_0 X",
    b"HTTP/1.1 -01 X",
    b"HTTP/1.1 OK",
    b"HTTP/1.0 000 X",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"ICY 200 OK",
    b"200 OK",
)
INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


def complete_heads(id_header):
    """Returns heads, by kind, that must not be taken for whole when cut short.

    Args:
        id_header: Header with the ID of the request.
    """
    signature = b"Response-Signature: 5a.07\r\n\r\n"
    started = b"HTTP/1.1 200 OK\r\n" + id_header
    return {
        "no body": started + b"Content-Length: 0\r\n" + signature,
        "body": started + b"Content-Length: 1234\r\n" + signature,
        "length last": started + b"X: y\r\nContent-Length: 1234\r\n\r\n",
        "chunked": started + b"Transfer-Encoding: chunked\r\n" + signature,
        "until close": started + signature,
        "no content": b"HTTP/1.1 204 No Content\r\n" + id_header + signature,
        "interim first": (
            INTERIM_ANSWER + started + b"Content-Length: 0\r\n" + signature
        ),
    }
