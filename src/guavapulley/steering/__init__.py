"""Selection of upstreams for requests, with queues, retries and hedges."""

from guavapulley.steering._catalog import LabelledUpstream
from guavapulley.steering._catalog import label_upstreams
from guavapulley.steering._decisions import Attempt
from guavapulley.steering._decisions import Decision
from guavapulley.steering._decisions import Exclusion
from guavapulley.steering._decisions import ScoredCandidate
from guavapulley.steering._errors import DEADLINE_EXCEEDED
from guavapulley.steering._errors import LINK_CAP
from guavapulley.steering._errors import NO_UPSTREAM
from guavapulley.steering._errors import OVERLOADED
from guavapulley.steering._errors import REGION_LIMIT
from guavapulley.steering._errors import UPSTREAM_FAILED
from guavapulley.steering._errors import SteeringError
from guavapulley.steering._links import LinkShares
from guavapulley.steering._links import Reservation
from guavapulley.steering._settings import SteeringSettings
from guavapulley.steering._steerer import Steerer

__all__ = [
    "DEADLINE_EXCEEDED",
    "LINK_CAP",
    "NO_UPSTREAM",
    "OVERLOADED",
    "REGION_LIMIT",
    "UPSTREAM_FAILED",
    "Attempt",
    "Decision",
    "Exclusion",
    "LabelledUpstream",
    "LinkShares",
    "Reservation",
    "ScoredCandidate",
    "Steerer",
    "SteeringError",
    "SteeringSettings",
    "label_upstreams",
]
