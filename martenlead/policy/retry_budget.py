"""The retry budget: a worker earns retries by its successes, which bounds their number.

docs/design.md, "Retries".
"""

from __future__ import annotations

from martenlead.policy.state import Worker

EARNED_BY_SUCCESS = 0.2  # five successes pay for one retry
BUDGET_LIMIT = 10.0  # retries: a long quiet time saves up no storm
RETRY_COST = 1


def allows_retry(worker: Worker) -> bool:
    """Whether a retry may go to this worker."""
    return worker.retry_budget >= RETRY_COST


def spend_retry(worker: Worker) -> None:
    """For one retry at this worker."""
    worker.retry_budget -= RETRY_COST


def earn(worker: Worker) -> None:
    """What one success at this worker earns it."""
    worker.retry_budget = min(BUDGET_LIMIT, worker.retry_budget + EARNED_BY_SUCCESS)
