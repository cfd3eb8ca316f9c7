"""Route matching and load balancing: which service answers a call, and on which host."""

from ._candidates import Candidate
from ._key_holders import KeyHolders
from ._offers import MAX_OFFERS, Offer, Offers
from ._picker import Picker, trial_rank
from ._router import Plan, Router

__all__ = [
    "Candidate",
    "KeyHolders",
    "MAX_OFFERS",
    "Offer",
    "Offers",
    "Picker",
    "Plan",
    "Router",
    "trial_rank",
]
