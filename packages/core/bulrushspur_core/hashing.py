"""Rendezvous hashing: everybody who knows the same names chooses the same one."""

import hashlib
import typing as t


def rank(names: t.Iterable[str], key: str) -> list[str]:
    """Order names by their weight for a key, the heaviest first."""
    return sorted(names, key=lambda name: (_weight(name, key), name), reverse=True)


def choose(names: t.Iterable[str], key: str) -> str | None:
    """Choose the heaviest name for a key, or None where there is no name."""
    return max(names, key=lambda name: (_weight(name, key), name), default=None)


def _weight(name: str, key: str) -> bytes:
    return hashlib.blake2b(f"{name}\0{key}".encode(), digest_size=8).digest()
