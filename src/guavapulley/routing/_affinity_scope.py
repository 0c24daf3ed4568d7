"""Choice between preferred upstreams per region and per failure domain."""

from guavapulley.routing import _placement

# Utilization from which processing of cold objects takes slots that other
# requests wait for, and below which it does not. The gap between the two
# prevents oscillation.
HIGH_UTILIZATION = 0.6
LOW_UTILIZATION = 0.4
# Below this number of requests per object within the time that `WorkingSet`
# covers, an object is not made warm in the domain: the work that a warm object
# saves, divided by so few requests, is less than the cost of crossing domains.
MIN_REQUESTS_PER_OBJECT = (
    1 - _placement.WARM_FACTOR
) / _placement.BUSY_DOMAIN_COST


class AffinityScope:
    """Decides how many preferred upstreams an object has, by the region's load.

    With one preferred upstream in each failure domain no request leaves its
    domain, and each object is processed cold once in each domain. With one in
    the region the object is processed cold only once, but requests cross
    domains, which costs a millisecond and the transferred bytes. Under load
    the slots that this saves are worth more. The region's preferred upstream
    is always one of the domains' preferred ones, so that it is warm already
    when the load rises.

    Attributes:
        region_wide: Whether an object has one preferred upstream in the
            region. This is so at first, as nothing is warm anywhere.
    """

    def __init__(self) -> None:
        self.region_wide = True

    def update(self, utilization: float, requests_per_object: float) -> None:
        """Adapts to the load of the region.

        Args:
            utilization: Requests at the region's upstreams and waiting for
                them, relative to their slots.
            requests_per_object: Recent requests per object from the entry's
                own failure domain.
        """
        if (
            utilization >= HIGH_UTILIZATION
            or requests_per_object < MIN_REQUESTS_PER_OBJECT
        ):
            self.region_wide = True
        elif utilization < LOW_UTILIZATION:
            self.region_wide = False
