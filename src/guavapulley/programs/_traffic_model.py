"""Estimates the target regions of requests under a configuration."""

from collections.abc import Mapping
from collections.abc import Sequence

from guavapulley import model
from guavapulley import ports
from guavapulley import selectors
from guavapulley import steering

# Request labels whose values follow from the service and the region.
DETERMINED_LABELS = ("service", "class", "region")
# Smaller fractions are rounding errors.
MIN_FRACTION = 1e-9


class TrafficModel:
    """A configuration and the announced upstreams with their labels."""

    def __init__(
        self,
        configuration: model.Configuration,
        records: Sequence[model.UpstreamRecord],
    ) -> None:
        self.configuration = configuration
        observations = [
            ports.UpstreamObservation(record, 0.0, 0.0) for record in records
        ]
        self.upstreams = list(
            steering.label_upstreams(observations, configuration)
        )
        self.services = configuration.services()

    def matching_upstreams(
        self, service: str, selector: str
    ) -> list[steering.LabelledUpstream]:
        """Returns the usable upstreams of a service that match a selector."""
        parsed = selectors.parse(selector)
        return [
            upstream
            for upstream in self.upstreams
            if upstream.is_usable
            and upstream.observation.record.service == service
            and parsed.matches(upstream.labels)
        ]

    def regions(self) -> list[str]:
        """Returns the regions that have upstreams."""
        return sorted({upstream.region for upstream in self.upstreams})

    def labels(self, service: str, region: str) -> dict[str, str]:
        """Returns the labels that all requests of a service and region have."""
        labels = {"service": service, "region": region}
        if service in self.services:
            labels["class"] = self.services[service].traffic_class.value
        return labels

    def target_fractions(self, service: str, region: str) -> dict[str, float]:
        """Returns the estimated fraction of requests by target region."""
        fractions: dict[str, float] = {}
        remaining = 1.0
        for intent in self.configuration.intents():
            labels = self.labels(service, region)
            if find_undetermined_labels(intent.requests, labels) is None:
                continue
            fraction = remaining * intent.share_percent / 100
            remaining -= fraction
            targets = self.matching_upstreams(service, intent.upstreams)
            _add_target_fractions(fractions, fraction, region, targets)
        _add_target_fractions(
            fractions, remaining, region, self.matching_upstreams(service, "")
        )
        return fractions

    def capacity(self, service: str, region: str) -> int:
        """Returns the maximum number of concurrent requests in a region."""
        regional_upstreams = [
            upstream
            for upstream in self.matching_upstreams(service, "")
            if upstream.region == region
        ]
        slots = sum(
            upstream.observation.record.slots for upstream in regional_upstreams
        )
        limit = self.region_limit(region)
        return min(slots, limit.max_in_flight or slots)

    def region_limit(self, region: str) -> model.RegionLimit:
        """Returns the limit of a region, or the default without one."""
        limits = (
            configuration_object
            for configuration_object in self.configuration.objects
            if isinstance(configuration_object, model.RegionLimit)
            and configuration_object.name == region
        )
        default = model.RegionLimit(region)
        return next(limits, default)


def _add_target_fractions(
    fractions: dict[str, float],
    fraction: float,
    region: str,
    targets: Sequence[steering.LabelledUpstream],
) -> None:
    """Adds a fraction to the own region, else to the others by their slots."""
    if fraction <= MIN_FRACTION or not targets:
        return
    local_targets = [target for target in targets if target.region == region]
    slots = sum(
        target.observation.record.slots for target in local_targets or targets
    )
    for target in local_targets or targets:
        target_fraction = (
            fraction * target.observation.record.slots / max(slots, 1)
        )
        fractions[target.region] = (
            fractions.get(target.region, 0.0) + target_fraction
        )


def find_undetermined_labels(
    selector: str, labels: Mapping[str, str]
) -> tuple[str, ...] | None:
    """Returns the undetermined labels on which a match depends.

    Returns None if the determined labels exclude a match.

    >>> find_undetermined_labels(
    ...     "service = a, tier = gold", {"service": "a"}
    ... )
    ('tier',)

    Args:
        selector: Selector over request labels.
        labels: Values of the determined labels.
    """
    undetermined = []
    for term in selectors.parse(selector).terms:
        key = term.key
        if key in DETERMINED_LABELS:
            if not term.matches(labels):
                return None
        else:
            undetermined.append(key)
    return tuple(dict.fromkeys(undetermined))
