"""Metrics that are kept in the process and served as text."""

from collections.abc import Callable
from collections.abc import Mapping
import re

import prometheus_client

from guavapulley import model

_INVALID_CHARACTERS = re.compile(r"[^A-Za-z0-9_]")
# Requests take between one millisecond and the longest timeouts.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
# Limits for each metric on kinds and on combinations of label values; all
# beyond them are counted as `other`.
MAX_KINDS = 50
MAX_LABEL_COMBINATIONS = 300
OTHER = "other"


class PrometheusMetrics:
    """Counters, gauges and histograms (`ports.Metrics`).

    The part of a name after its first dot becomes the value of the label
    `kind`: `requests.503` is `guavapulley_requests_total{kind="503"}`. Counters
    that are incremented with labels have these labels instead. A counter, a
    gauge and a histogram may have the same part before the dot: the exported
    names of counters end in `_total`, and those of histograms in `_seconds`.

    Args:
        read_gauges: Returns the values of gauges by name; called whenever the
            text is served.
    """

    def __init__(
        self, read_gauges: Callable[[], Mapping[str, float]] = dict
    ) -> None:
        self.read_gauges = read_gauges
        # A registry reserves the name of a counter without its suffix too, so
        # each type has a registry of its own.
        self.counter_registry = prometheus_client.CollectorRegistry()
        self.gauge_registry = prometheus_client.CollectorRegistry()
        self.histogram_registry = prometheus_client.CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}
        self.kinds: dict[str, set[str]] = {}
        self.combinations: dict[str, set[tuple[str, ...]]] = {}

    def _split_name(self, name: str) -> tuple[str, str]:
        """Splits a name into the name of the exported metric and the kind."""
        metric_name, _, kind = name.partition(".")
        metric_name = f"guavapulley_{_INVALID_CHARACTERS.sub('_', metric_name)}"
        kinds = self.kinds.setdefault(metric_name, set())
        if kind not in kinds and len(kinds) >= MAX_KINDS:
            return metric_name, OTHER
        kinds.add(kind)
        return metric_name, kind

    def _limit_combinations(
        self, metric_name: str, values: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Returns the label values, or `OTHER` for each beyond the limit."""
        combinations = self.combinations.setdefault(metric_name, set())
        if (
            values not in combinations
            and len(combinations) >= MAX_LABEL_COMBINATIONS
        ):
            return (OTHER,) * len(values)
        combinations.add(values)
        return values

    def increment(self, name: str, count: int = 1, **labels: str) -> None:
        """Increments a counter."""
        metric_name, kind = self._split_name(name)
        exported_labels = labels or {"kind": kind}
        if metric_name not in self.counters:
            self.counters[metric_name] = prometheus_client.Counter(
                metric_name,
                "Events since the start.",
                list(exported_labels),
                registry=self.counter_registry,
            )
        values = self._limit_combinations(
            metric_name, tuple(exported_labels.values())
        )
        self.counters[metric_name].labels(*values).inc(count)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        metric_name, kind = self._split_name(name)
        if metric_name not in self.gauges:
            self.gauges[metric_name] = prometheus_client.Gauge(
                metric_name,
                "Value now.",
                ["kind"],
                registry=self.gauge_registry,
            )
        self.gauges[metric_name].labels(kind).set(value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        metric_name, kind = self._split_name(name)
        if metric_name not in self.histograms:
            self.histograms[metric_name] = prometheus_client.Histogram(
                f"{metric_name}_seconds",
                "Durations.",
                ["kind"],
                registry=self.histogram_registry,
                buckets=BUCKETS_S,
            )
        self.histograms[metric_name].labels(kind).observe(milliseconds / 1000)

    async def answer(self, request: model.HttpRequest) -> model.Answer:
        """Returns the metrics as text; see `http1.AnswerHandler`."""
        for name, value in self.read_gauges().items():
            self.gauge(name, value)
        head = model.AnswerHead(
            200, (("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),)
        )
        registries = (
            self.counter_registry,
            self.gauge_registry,
            self.histogram_registry,
        )
        return model.Answer(
            head, b"".join(map(prometheus_client.generate_latest, registries))
        )

    def may_overlap(self, request: model.HttpRequest) -> bool:
        """Returns True, because requests for metrics may overlap."""
        return True
