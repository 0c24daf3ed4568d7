"""Upstream records, as announced by upstreams and exchanged by entries."""

from collections.abc import Mapping
import enum

import attrs

Labels = Mapping[str, str]

MAX_LABELS = 32
MAX_LABEL_CHARS = 128


class UpstreamState(enum.StrEnum):
    """State of an upstream as reported by the upstream itself."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class NodeAddress:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class LoadReport:
    """Load as reported by an upstream; it may be outdated or wrong.

    Attributes:
        in_flight: Number of requests being served.
        queued: Number of requests waiting inside the upstream.
        age_s: Age of the measurement when it was announced, in seconds.
    """

    in_flight: int
    queued: int = 0
    age_s: float = 0.0


@attrs.frozen
class UpstreamRecord:
    """The record of an announced upstream, as entries exchange it.

    Attributes:
        upstream: Name of the upstream, unique in the deployment.
        service: Service that it serves.
        address: Address on which it accepts HTTP connections.
        region: Region of its VM.
        failure_domain: Failure domain of its VM.
        slots: Maximum number of requests served at a time.
        max_connections: Maximum number of connections accepted.
        labels: Labels that the upstream announced.
        incarnation: Start time of the upstream process in ms since the epoch,
            by the clock of the upstream. A greater one replaces the record.
        sequence: Number of renewals within the incarnation; it orders the
            records of an incarnation.
        state: State as reported by the upstream.
        load: Last load report, if any.
        age_s: Seconds between the receipt of the renewal by an entry and the
            sending of this record. Receivers subtract it from their own clock,
            so clocks need not be synchronized.
        cold_s: Seconds for which the upstream stays cold after its renewal.
    """

    upstream: str
    service: str
    address: NodeAddress
    region: str
    failure_domain: str
    slots: int
    max_connections: int
    labels: Labels = attrs.field(factory=dict)
    incarnation: int = 0
    sequence: int = 0
    state: UpstreamState = UpstreamState.READY
    load: LoadReport | None = None
    age_s: float = 0.0
    cold_s: float = 0.0

    def version(self) -> tuple[int, int]:
        """Returns the version, by which records of an upstream are ordered."""
        return (self.incarnation, self.sequence)

    def all_labels(self) -> dict[str, str]:
        """Returns the announced labels together with the automatic labels."""
        return {
            **self.labels,
            "service": self.service,
            "region": self.region,
            "failure_domain": self.failure_domain,
            "upstream": self.upstream,
        }
