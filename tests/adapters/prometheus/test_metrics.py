"""Guards against metrics that are lost or grow without bound."""

from guavapulley import model
from guavapulley.adapters import prometheus
from guavapulley.adapters.prometheus import _metrics

REQUEST = model.HttpRequest("GET", "/metrics")


async def fetch_text(metrics):
    return (await metrics.answer(REQUEST)).body.decode()


async def test_counters_gauges_and_histograms_are_served():
    metrics = prometheus.PrometheusMetrics(lambda: {"version.routing": 7})
    metrics.increment("requests.503", 2)
    metrics.timing("exchange.stock", 150)
    text = await fetch_text(metrics)
    assert 'guavapulley_requests_total{kind="503"} 2.0' in text
    assert 'guavapulley_version{kind="routing"} 7.0' in text
    assert (
        'guavapulley_exchange_seconds_bucket{kind="stock",le="0.2"} 1.0' in text
    )


async def test_labels_are_served_and_their_combinations_are_bounded():
    metrics = prometheus.PrometheusMetrics()
    for number in range(_metrics.MAX_LABEL_COMBINATIONS + 20):
        metrics.increment("outcomes", route=f"r{number}", status="200")
    text = await fetch_text(metrics)
    assert 'guavapulley_outcomes_total{route="r1",status="200"} 1.0' in text
    assert (
        'guavapulley_outcomes_total{route="other",status="other"} 20.0' in text
    )


async def test_the_number_of_kinds_is_bounded():
    metrics = prometheus.PrometheusMetrics()
    for number in range(_metrics.MAX_KINDS + 20):
        metrics.increment(f"requests.{number}")
    text = await fetch_text(metrics)
    assert 'guavapulley_requests_total{kind="other"} 20.0' in text


async def test_a_counter_and_a_gauge_with_the_same_prefix_are_both_served():
    # A replica that has won an election and then makes a snapshot.
    metrics = prometheus.PrometheusMetrics()
    metrics.increment("replica.elections_won")
    metrics.gauge("replica.snapshot_bytes", 4096)
    text = await fetch_text(metrics)
    assert 'guavapulley_replica_total{kind="elections_won"} 1.0' in text
    assert 'guavapulley_replica{kind="snapshot_bytes"} 4096.0' in text
