"""Fallback to the previous routing while slots change owners.

After a configuration change, an entry may own no usable slots in the regions to
which its requests now go, until the previous owners have released them. During
that time, requests for which the new routing has no upstream use the previous
routing and the slots that the entry owned under it.
"""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from guavapulley import model
from guavapulley.steering import _catalog

# A drained upstream must get no new requests after 3 s; this leaves 0.5 s for
# the entries to learn of the change.
MAX_HANDOVER_S = 2.5


@attrs.frozen
class PreviousRouting:
    """Routing and slots before a change of the configuration.

    Attributes:
        configuration: Previous configuration.
        upstreams: Upstreams with their labels under that configuration.
        owned: Number of slots that the entry owned, by upstream.
        limits: Number of its own slots that the entry could use, by region.
        ends_at_s: Time on trio's clock from which this routing is not used.
    """

    configuration: model.Configuration
    upstreams: Sequence[_catalog.LabelledUpstream]
    owned: Mapping[str, int]
    limits: Mapping[str, int]
    ends_at_s: float


def handover_end_s(changed_at_s: float, settle_s: float) -> float:
    """Returns the time from which the previous routing is not used.

    An entry needs its previous slots until it may use the new ones, because
    requests are refused while it has neither.

    Args:
        changed_at_s: Time at which the entry learned of the change.
        settle_s: Time after a change until an entry may use its new slots.
    """
    return changed_at_s + min(settle_s, MAX_HANDOVER_S)
