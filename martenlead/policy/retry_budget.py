"""The retry budget: a worker earns retries by its successes, which limits their number.

See docs/design.md, "Retries".
"""

from __future__ import annotations

from martenlead.policy.state import Worker

# Five successes earn one retry.
EARNED_BY_SUCCESS = 0.2
# Largest number of retries saved up, so that a long idle time does not allow a retry storm.
BUDGET_LIMIT = 10.0
RETRY_COST = 1


def allows_retry(worker: Worker) -> bool:
    """Whether a retry may go to this worker."""
    return worker.retry_budget >= RETRY_COST


def spend_retry(worker: Worker) -> None:
    """Takes the cost of one retry at this worker from its budget."""
    worker.retry_budget -= RETRY_COST


def earn(worker: Worker) -> None:
    """Adds what one success at this worker earns to its budget."""
    worker.retry_budget = min(BUDGET_LIMIT, worker.retry_budget + EARNED_BY_SUCCESS)
