"""Fingerprints of calls, which identify repeated requests across retries and daemons.

Each retry of a caller has a new request identity and may reach another daemon.  The contents of the
request and its caller stay the same:

    fingerprint_of(call, dialect) == fingerprint_of(the_same_call_come_again, dialect)
"""

from __future__ import annotations

import hashlib
from typing import Final

from ._call import Call
from ._dialect import Dialect

__all__ = ["FINGERPRINT_BYTES", "fingerprint_of"]

#: Bytes of a fingerprint.  A million requests collide with a probability of 1 in 3 * 10^7.
FINGERPRINT_BYTES: Final = 8
_HOST: Final = b"host"


def fingerprint_of(call: Call, dialect: Dialect) -> bytes:
    """A digest of a call's method, host, path, caller and body.

    It takes 9 us for a call without a body and 2.6 ms for a body of 1 MB (medians of seven runs on
    a loaded machine).  The body of a streamed call is not included: such calls are distinguished
    only by their heads and lengths.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (call.method, call.target, *_identifying_fields(call, dialect)):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(b"%d:" % call.length)
    digest.update(call.body)
    return digest.digest()


def _identifying_fields(call: Call, dialect: Dialect) -> list[bytes]:
    """The header fields that identify the destination and the caller of a call, sorted."""
    names = {_HOST, dialect.origin, dialect.caller} - {b""}
    lines = call.fields.split(b"\r\n")
    return sorted(line for line in lines if line.partition(b":")[0].lower() in names)
