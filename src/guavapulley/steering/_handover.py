"""Routing by the previous configuration while slots change hands.

A new configuration can leave an entry without slots where its requests must go,
until the other entries have given them up. During that time requests that the
new routing cannot place go by the previous one, in slots that the entry owned.
"""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from guavapulley import model
from guavapulley.steering import _catalog

# New owners use the slots from 2 s and three mean request times after a change
# on; 1.8 s left a gap in which waiting reads were refused. A drained upstream
# gets nothing new after 3 s as long as entries learn of a change within 0.5 s.
HANDOVER_S = 2.0


@attrs.frozen
class PreviousRouting:
    """What was in force before a change of the configuration.

    Attributes:
        configuration: The previous configuration.
        upstreams: Upstreams with their labels under it.
        owned: Slots that the entry owned, by upstream.
        limits: Slots that the entry could use, by region.
        ends_at_s: Time from which it is no longer used.
    """

    configuration: model.Configuration
    upstreams: Sequence[_catalog.Labelled]
    owned: Mapping[str, int]
    limits: Mapping[str, int]
    ends_at_s: float
