"""Settings of a node that runs on the users' platform."""

import pathlib

import attrs

from guavapulley import forwarding
from guavapulley import model


@attrs.frozen
class NodeSettings:
    """Settings of a node; they may be reloaded while it runs.

    Attributes:
        name: Name of the VM.
        role: Role of the process, which events are logged with.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        regions: Region of each failure domain.
        peer_address: Address at which the node listens for calls of nodes.
        seeds: Peer addresses of some control replicas.
        first_start: Whether the whole system starts for the first time.
        data_folder: Folder on a durable disk; None without a disk.
        max_lost_disks: Number of disks that may be lost at the same time.
        stop_timeout_s: Time from the signal to stop to the end of the process,
            in seconds.
        directory_ttl_s: Time for which callers cache a lookup, in seconds.
        forwarding_settings: Limits that all entries enforce together.
        callers_address: Address for callers; None without this server.
        readiness_address: Address of the readiness check; None without this
            server.
        control_address: Address for upstreams and operators; None without this
            server.
        directory_address: Address for lookups; None without this server.
        metrics_address: Address from which metrics are read; None without this
            server.
        max_memory_bytes: Memory at which the process is ended; None if there is
            no limit.
    """

    name: str
    role: str
    region: str
    failure_domain: str
    regions: dict[str, str]
    peer_address: model.NodeAddress
    seeds: tuple[model.NodeAddress, ...]
    first_start: bool
    data_folder: pathlib.Path | None
    max_lost_disks: int
    stop_timeout_s: float
    directory_ttl_s: float
    forwarding_settings: forwarding.ForwardingSettings
    callers_address: model.NodeAddress | None = None
    readiness_address: model.NodeAddress | None = None
    control_address: model.NodeAddress | None = None
    directory_address: model.NodeAddress | None = None
    metrics_address: model.NodeAddress | None = None
    max_memory_bytes: int | None = None
