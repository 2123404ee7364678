"""Make, split and hash the keys of teams, ``bsp_ID_SECRET``; only hashes are stored.

A key has 256 random bits, so a plain hash of it withstands an exhaustive search.
"""

import hashlib
import secrets
import typing as t

API_KEY_MARKER: t.Final = "bsp"
KEY_ID_BYTES: t.Final = 6
SECRET_BYTES: t.Final = 32


def make_api_key() -> tuple[str, str]:
    """Make a key and return its id and the whole key."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    return key_id, f"{API_KEY_MARKER}_{key_id}_{secrets.token_hex(SECRET_BYTES)}"


def split_api_key(key: str) -> tuple[str, str] | None:
    """Split a key into its id and its secret; None if it is not a key."""
    parts = key.split("_")
    if len(parts) != 3 or parts[0] != API_KEY_MARKER:
        return None
    return parts[1], parts[2]


def hash_api_key(key: str) -> str:
    """Return the hash of a key in the form that is stored."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()
