"""Leaves OpenSSL out of the process: nothing here needs it, and it takes 5 MB resident.

Import this before anything else. asyncio and hmac do without it where it cannot be
imported, hashlib has hashes of its own, and logbook asks for the name ``ssl`` alone,
for a mail handler that is not used.
"""

import sys
import types
import typing as t

_LEFT_OUT: t.Final = ("ssl", "_hashlib")


def _import_without_openssl() -> None:
    if any(name in sys.modules for name in _LEFT_OUT):
        return
    sys.modules.update(dict.fromkeys(_LEFT_OUT))  # type: ignore[arg-type]
    try:
        import asyncio  # noqa: F401
        import hashlib  # noqa: F401
        import hmac  # noqa: F401

        sys.modules["ssl"] = types.ModuleType("ssl")
        import logbook  # noqa: F401
    finally:
        for name in _LEFT_OUT:
            del sys.modules[name]


_import_without_openssl()
