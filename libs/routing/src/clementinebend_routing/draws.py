"""Random numbers without hidden state: each function takes and returns a state.

The generator is SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number
Generators", OOPSLA 2014). It is not cryptographically secure.
"""

from collections.abc import Sequence

MASK = (1 << 64) - 1
INCREMENT = 0x9E3779B97F4A7C15
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB


def next_number(state: int) -> tuple[int, int]:
    """Return the next state and 64 random bits as an integer."""
    state = (state + INCREMENT) & MASK
    mixed = ((state ^ (state >> 30)) * FIRST_MULTIPLIER) & MASK
    mixed = ((mixed ^ (mixed >> 27)) * SECOND_MULTIPLIER) & MASK
    return state, mixed ^ (mixed >> 31)


def sample_names(
    state: int, names: Sequence[str], count: int
) -> tuple[int, tuple[str, ...]]:
    """Return the next state and a random sample of ``count`` distinct names."""
    remaining = list(names)
    count = min(count, len(remaining))
    for index in range(count):
        state, number = next_number(state)
        swap_index = index + number % (len(remaining) - index)
        remaining[index], remaining[swap_index] = (
            remaining[swap_index],
            remaining[index],
        )
    return state, tuple(remaining[:count])
