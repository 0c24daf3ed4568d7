"""Records of what callers, servers and operators observe in a soak.

Times are seconds of trio's clock, which is the same for all records.
"""

import attrs


@attrs.frozen
class Answer:
    """The outcome of one attempt of a caller.

    Attributes:
        request_id: ID of the attempt.
        once: Whether it may run at most once.
        edge: Name of the edge that it was sent to.
        sent_s: Time at which it was sent.
        ended_s: Time at which its answer was complete, its connection ended or
            the caller gave up.
        status: Status of the answer; None without a complete answer.
        body: Hash of the body.
        signed: Whether the answer carries the signature of a server.
    """

    request_id: str
    once: bool
    edge: str
    sent_s: float
    ended_s: float
    status: int | None
    body: str = ""
    signed: bool = False


@attrs.frozen
class Arrival:
    """A request that arrived at a server.

    Attributes:
        request_id: ID of the attempt.
        server: Name of the incarnation of the server.
        zone: Zone of the server.
        at_s: Time of its arrival.
        ran: Whether the server began to run it.
        status: Status of the answer that the server gives it.
        body: Hash of the body of that answer.
        cold: Whether the server was cold at that time.
        leaving: Whether the answer says that the server leaves.
        refusal_s: Seconds for which the answer asks for no further requests; 0
            without such a time.
    """

    request_id: str
    server: str
    zone: str
    at_s: float
    ran: bool
    status: int
    body: str
    cold: bool = False
    leaving: bool = False
    refusal_s: float = 0.0


@attrs.frozen
class Command:
    """An acknowledged command of an operator or a server.

    Attributes:
        kind: `drain`, `evacuate`, `return` or `change`.
        name: Server, zone or version that it is about.
        at_s: Time of its acknowledgement; for `return` the time at which it was
            sent.
        base: Version that a change is based on.
    """

    kind: str
    name: str
    at_s: float
    base: int = 0


@attrs.frozen
class Probe:
    """The newest version that an edge serves at one time.

    Attributes:
        edge: Name of the edge and the number of its start.
        version: Newest version whose own route the edge serves.
        at_s: Time at which the edge answered.
    """

    edge: str
    version: int
    at_s: float


@attrs.frozen
class Disturbance:
    """A time span in which a node, a server or its link is disturbed.

    Attributes:
        name: Edge, or address of a server; `core` for any core node,
            `stop EDGE` for an edge that is stopped by a signal.
        from_s: Start of the span.
        to_s: End of the span; infinite while it lasts.
    """

    name: str
    from_s: float
    to_s: float


@attrs.frozen
class Exit:
    """The end of a process that was stopped by a signal.

    Attributes:
        node: Name of the process.
        code: Exit code; None if it had to be killed.
        signaled_s: Time at which the signal was sent.
        ended_s: Time at which it had ended.
    """

    node: str
    code: int | None
    signaled_s: float
    ended_s: float


@attrs.define
class History:
    """All records of a soak; the input of the checkers.

    Attributes:
        read_back: Version that each core node returns at the end, by name of
            the node; None where it could not be read.
        served_after: Number of requests served after the last fault, and number
            of requests sent after it.
    """

    answers: list[Answer] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    commands: list[Command] = attrs.field(factory=list)
    probes: list[Probe] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    exits: list[Exit] = attrs.field(factory=list)
    read_back: dict[str, int | None] = attrs.field(factory=dict)
    served_after: tuple[int, int] = (0, 0)

    def is_undisturbed(self, edge: str, from_s: float, to_s: float) -> bool:
        """Returns whether no disturbance of edge or core is in a time span."""
        return not any(
            disturbance.name in (edge, f"stop {edge}", "core")
            and disturbance.from_s <= to_s
            and disturbance.to_s >= from_s
            for disturbance in self.disturbances
        )
