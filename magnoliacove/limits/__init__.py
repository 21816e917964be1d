"""Admission control, rate limits, retry budgets and engine capacity."""

from magnoliacove.limits.admission import Admission
from magnoliacove.limits.admission import RateLimit
from magnoliacove.limits.admission import describe_admission
from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.load import TargetLoad
from magnoliacove.limits.retries import RetryBudget
from magnoliacove.limits.retry_log import RetryLog
from magnoliacove.limits.shared_retries import SharedRetryBudget
from magnoliacove.limits.unreported import UnreportedRequests

__all__ = [
    "Admission",
    "CapacityQueue",
    "LoadBook",
    "RateLimit",
    "RetryBudget",
    "RetryLog",
    "SharedRetryBudget",
    "TargetLoad",
    "UnreportedRequests",
    "describe_admission",
]
