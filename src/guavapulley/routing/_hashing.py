"""Rendezvous hashing."""

import xxhash


def rendezvous_rank(candidate: str, key: str) -> int:
    """Returns the rank of a candidate for a key; the lowest rank is preferred.

    All entries compute the same order without communication. When a candidate
    leaves, only its own keys move (Thaler and Ravishankar, 1998).
    """
    return xxhash.xxh3_64_intdigest(f"{candidate}/{key}".encode())
