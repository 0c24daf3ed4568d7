"""Where requests would go under a configuration, as far as it can be told."""

from collections.abc import Mapping
from collections.abc import Sequence

from guavapulley import model
from guavapulley import ports
from guavapulley import selectors
from guavapulley import steering

# Request labels whose values are known without seeing a request.
KNOWN_LABELS = ("service", "class", "region")
# Shares below this are rounding errors.
LEAST_SHARE = 1e-9


class World:
    """A configuration with the upstreams under it."""

    def __init__(
        self,
        configuration: model.Configuration,
        records: Sequence[model.UpstreamRecord],
    ) -> None:
        self.configuration = configuration
        known = [ports.KnownUpstream(record, 0.0, 0.0) for record in records]
        self.upstreams = list(steering.label_upstreams(known, configuration))
        self.services = configuration.services()

    def matching(
        self, service: str, selector: str
    ) -> list[steering.LabelledUpstream]:
        """Returns the usable upstreams of a service under a selector."""
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
        """Returns the labels that are known of every such request."""
        found = {"service": service, "region": region}
        if service in self.services:
            found["class"] = self.services[service].traffic_class.value
        return found

    def shares(self, service: str, region: str) -> dict[str, float]:
        """Returns the estimated share of requests by target region."""
        found: dict[str, float] = {}
        left = 1.0
        for intent in self.configuration.intents():
            labels = self.labels(service, region)
            if matches_known(intent.requests, labels) is None:
                continue
            taken = left * intent.share_percent / 100
            left -= taken
            targets = self.matching(service, intent.upstreams)
            _spread(found, taken, region, targets)
        _spread(found, left, region, self.matching(service, ""))
        return found

    def capacity(self, service: str, region: str) -> int:
        """Returns how many requests a region may run at a time."""
        divisible = [
            upstream
            for upstream in self.matching(service, "")
            if upstream.region == region
        ]
        slots = sum(upstream.observation.record.slots for upstream in divisible)
        limit = self.limit(region)
        return min(slots, limit.max_in_flight or slots)

    def limit(self, region: str) -> model.RegionLimit:
        """Returns the limit of a region, or the default."""
        found = (
            item
            for item in self.configuration.objects
            if isinstance(item, model.RegionLimit) and item.name == region
        )
        default = model.RegionLimit(region)
        return next(found, default)


def _spread(
    found: dict[str, float],
    share: float,
    region: str,
    targets: Sequence[steering.LabelledUpstream],
) -> None:
    """Adds a share to the nearest region, or by slots to the others."""
    if share <= LEAST_SHARE or not targets:
        return
    near = [target for target in targets if target.region == region]
    slots = sum(target.observation.record.slots for target in near or targets)
    for target in near or targets:
        part = share * target.observation.record.slots / max(slots, 1)
        found[target.region] = found.get(target.region, 0.0) + part


def matches_known(
    selector: str, labels: Mapping[str, str]
) -> tuple[str, ...] | None:
    """Returns on which unknown labels a match depends; None for no match.

    >>> matches_known("service = a, tier = gold", {"service": "a"})
    ('tier',)

    Args:
        selector: Selector over request labels.
        labels: The labels that are known.
    """
    unknown = []
    for term in selectors.parse(selector).terms:
        key = term.key
        if key in KNOWN_LABELS:
            if not term.matches(labels):
                return None
        else:
            unknown.append(key)
    return tuple(dict.fromkeys(unknown))
