"""The data model of calls: requests, outcomes, exchanges with targets, and events."""

from ._call import (
    LARGEST_WHOLE_BODY,
    UNKNOWN_LENGTH,
    Answer,
    Call,
    CallWatch,
    Exchange,
    NotRun,
    OutcomeUnknown,
)
from ._caps import NO_CAPS, UNCOUNTED, CountedCall, UsageCaps
from ._dialect import OWN_DIALECT, Dialect
from ._events import NO_EVENTS, CallEnded, CallEvents, OfferEnded, Try
from ._fingerprints import FINGERPRINT_BYTES, fingerprint_of
from ._header_fields import end_to_end
from ._notices import NO_NOTICE, NoticeRecord, StartNotice, TargetNotice, read_notice

__all__ = [
    "Answer",
    "Call",
    "CallEnded",
    "CallEvents",
    "CallWatch",
    "CountedCall",
    "Dialect",
    "Exchange",
    "FINGERPRINT_BYTES",
    "LARGEST_WHOLE_BODY",
    "NO_CAPS",
    "NO_EVENTS",
    "NO_NOTICE",
    "NotRun",
    "NoticeRecord",
    "OWN_DIALECT",
    "OfferEnded",
    "OutcomeUnknown",
    "StartNotice",
    "TargetNotice",
    "Try",
    "UNCOUNTED",
    "UNKNOWN_LENGTH",
    "UsageCaps",
    "end_to_end",
    "fingerprint_of",
    "read_notice",
]
