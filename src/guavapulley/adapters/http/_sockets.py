"""Buffered reading and writing on the sockets of callers.

The sockets are non-blocking, and a thread that has to wait polls with a
timeout. Python's own sockets with a timeout make two system calls for each read
and write, and each call lets another thread acquire the interpreter lock.
"""

import contextlib
import ctypes
import io
import select
import socket
import struct
import time
from typing import Any


class RequestReader(io.BufferedReader):
    """Reads requests with a deadline for each complete request.

    With a timeout for each read, a slow sender could extend a request without
    end.

    Args:
        sock: Non-blocking socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket_source = _SocketSource(sock)
        super().__init__(self.socket_source, io.DEFAULT_BUFFER_SIZE)
        # Cheroot counts bytes here if its statistics are enabled.
        self.bytes_read = 0

    def start_deadline(self, timeout_s: float) -> None:
        """Sets the deadline for receiving the next request."""
        self.socket_source.deadline_s = time.monotonic() + timeout_s

    def has_data(self) -> bool:
        """Whether the buffer holds bytes of another request."""
        self.socket_source.buffer_only = True
        try:
            return bool(self.peek(1))
        finally:
            self.socket_source.buffer_only = False


class _SocketSource(io.RawIOBase):
    """Reads from a non-blocking socket until a deadline."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.deadline_s = 0.0
        self.buffer_only = False

    def readable(self) -> bool:
        """Whether the source can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads available bytes; waits for them until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        if self.buffer_only:
            return None
        while time.monotonic() < self.deadline_s:
            try:
                return self.sock.recv_into(buffer)
            except BlockingIOError:
                remaining_s = self.deadline_s - time.monotonic()
                _wait_for_event(self.sock, select.POLLIN, max(0.0, remaining_s))
        raise TimeoutError("timed out")


class ReplyBuffer:
    """Collects the parts of a reply to send them together.

    Args:
        sock: Non-blocking socket.
        timeout_s: Limit on each wait for the caller to receive more.
    """

    def __init__(self, sock: socket.socket, timeout_s: float) -> None:
        self.sock = sock
        self.timeout_s = timeout_s
        self.parts: list[bytes] = []
        # Cheroot counts bytes here if its statistics are enabled.
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Adds a part and returns its length."""
        self.parts.append(data)
        return len(data)

    def flush(self) -> None:
        """Sends the collected parts.

        Raises:
            OSError: The caller is gone or too slow.
        """
        unsent = memoryview(b"".join(self.parts))
        self.parts.clear()
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except BlockingIOError:
                if not _wait_for_event(
                    self.sock, select.POLLOUT, self.timeout_s
                ):
                    raise TimeoutError("timed out") from None


# struct sock_filter: code, jump if true, jump if false, operand.
_INSTRUCTION = struct.Struct("=HBBI")
_SO_ATTACH_FILTER = 26  # asm-generic/socket.h; not in Python's socket module
_LOAD_BYTE, _JUMP_IF_SET, _RETURN = 0x30, 0x45, 0x06
_TCP_FLAGS_OFFSET, _TCP_SYN = 13, 0x02
_ACCEPT_PACKET = 0xFFFF_FFFF


def refuse_new_connections(listener: socket.socket) -> None:
    """Has the kernel drop SYN packets while handshakes in progress complete.

    Closing a listening socket resets the connections that have not been
    accepted. Without this filter, a connection that is established between the
    last accept and the close is reset although its caller may have sent a
    request. A caller whose SYN is dropped sends it again and is refused once
    the socket is closed.

    On systems without such filters, that short gap remains.
    """
    program = (
        _INSTRUCTION.pack(_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET)
        + _INSTRUCTION.pack(_JUMP_IF_SET, 0, 1, _TCP_SYN)
        + _INSTRUCTION.pack(_RETURN, 0, 0, 0)
        + _INSTRUCTION.pack(_RETURN, 0, 0, _ACCEPT_PACKET)
    )
    buffer = ctypes.create_string_buffer(program)
    # struct sock_fprog: number of instructions and their address.
    program_descriptor = struct.pack(
        "HP", len(program) // _INSTRUCTION.size, ctypes.addressof(buffer)
    )
    with contextlib.suppress(OSError):
        listener.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, program_descriptor
        )


def _wait_for_event(sock: socket.socket, event: int, timeout_s: float) -> bool:
    poll = select.poll()
    poll.register(sock, event)
    return bool(poll.poll(timeout_s * 1_000))
