"""Guards against metrics that a statsd server cannot read."""

import socket

import pytest

from guavapulley import model
from guavapulley.adapters import metrics

CASES = [
    (
        lambda statsd_metrics: statsd_metrics.increment("a.b", 2),
        b"guavapulley.entry.pb-1_x.a.b:2|c",
    ),
    (
        lambda statsd_metrics: statsd_metrics.increment(
            "a", route="r 1", status="503"
        ),
        b"guavapulley.entry.pb-1_x.a.r_1.503:1|c",
    ),
    (
        lambda statsd_metrics: statsd_metrics.gauge("queue", 3),
        b"guavapulley.entry.pb-1_x.queue:3|g",
    ),
    (
        lambda statsd_metrics: statsd_metrics.timing("t", 1.5),
        b"guavapulley.entry.pb-1_x.t:1.500000|ms",
    ),
]


@pytest.mark.parametrize("send, expected", CASES)
def test_datagram_is_in_the_statsd_format(send, expected):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        address = model.NodeAddress("127.0.0.1", server.getsockname()[1])
        statsd_metrics = metrics.StatsdMetrics(address, "pb-1.x", "entry")
        send(statsd_metrics)
        assert server.recv(1024) == expected
        statsd_metrics.close()


def test_absent_server_causes_no_error(free_port):
    address = model.NodeAddress("127.0.0.1", free_port())
    statsd_metrics = metrics.StatsdMetrics(address, "n", "entry")
    for _ in range(3):
        statsd_metrics.increment("a")
    statsd_metrics.close()
