"""Messages of the platform for tests."""

HEARTBEAT = {
    "service": "one",
    "address": "10.0.0.9:8080",
    "zone": "pb-1",
    "version": "v1",
    "capacity": 7,
    "state": "ready",
    "cold_remaining_s": 1.5,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
# Region of each failure domain.
REGIONS = {"pb-1": "pb"}
