"""Limits: admission, rates, retries."""

from magnoliacove.limits.admission import Admission
from magnoliacove.limits.admission import RateLimit
from magnoliacove.limits.admission import describe_admission
from magnoliacove.limits.retries import RetryBudget

__all__ = ["Admission", "RateLimit", "RetryBudget", "describe_admission"]
