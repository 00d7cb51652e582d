"""Load readings of backend servers, weighted by age.

The weight of a reading begins at 0.5 and halves every 250 ms. A reading is
dropped after 2 s, when its weight is 1/512, so that a stale or misleading
report does not affect the choice of servers for long.
"""

from typing import Final
from typing import NamedTuple

READING_HALF_LIFE_S: Final = 0.25
MAX_READING_AGE_S: Final = 2.0


class _Reading(NamedTuple):
    value: float
    observed_at: float


class LoadReadings:
    """The newest load reading of each server."""

    def __init__(self) -> None:
        self._readings: dict[str, _Reading] = {}

    def observe(self, *, server_id: str, value: float, now: float) -> None:
        """Record a reading, such as the number of requests in flight."""
        self._readings[server_id] = _Reading(value, now)

    def blend(
        self, *, server_id: str, local_value: float, now: float
    ) -> float:
        """The local value, moved towards the reading by its weight.

        A new reading has weight 0.5.
        """
        reading = self._readings.get(server_id)
        if reading is None:
            return local_value
        age = now - reading.observed_at
        if age > MAX_READING_AGE_S:
            del self._readings[server_id]
            return local_value
        weight: float = 0.5 ** (1 + age / READING_HALF_LIFE_S)
        return local_value + weight * (reading.value - local_value)
