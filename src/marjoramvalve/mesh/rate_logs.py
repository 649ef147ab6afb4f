"""Log lines about requests to an upstream that announces a rate or is cold."""

import structlog

from marjoramvalve.mesh.cold_starts import UpstreamPacing
from marjoramvalve.mesh.jobs import Job

USAGE_INTERVAL_S = 1.0

log = structlog.get_logger("ingress")


class RateLog:
    """Counts and logs the refusals at an announced rate, and about once per second its use."""

    def __init__(self) -> None:
        self.refused_calls = 0
        self._usage_logged = (0.0, 0)  # When, and how many requests had been sent by then.

    def log_refused(
        self,
        job: Job,
        instance: str,
        limiter: UpstreamPacing,
        waiting: int,
        wait_s: float,
        now: float,
    ) -> None:
        """Logs and counts the refusal of a call if the upstream announces a rate or is cold."""
        if limiter.per_s is None:
            return
        self.refused_calls += 1
        log.info(
            "call.rate_limited",
            request=job.attempt,
            rank=job.rank,
            instance=instance,
            limit_per_s=limiter.per_s,
            limit_age_s=round(now - limiter.changed_at, 2),
            waiting=waiting,
            wait_s=round(wait_s, 3),
        )

    def log_usage(
        self,
        instance: str,
        limiter: UpstreamPacing,
        sent_requests: int,
        running: int,
        waiting: int,
        now: float,
    ) -> None:
        """Logs the rate of requests while the upstream announces a limit."""
        logged_at, logged_requests = self._usage_logged
        if now < logged_at + USAGE_INTERVAL_S:
            return
        self._usage_logged = (now, sent_requests)
        if limiter.announced_per_s is not None:
            log.info(
                "upstream.rate_usage",
                instance=instance,
                limit_per_s=limiter.per_s,
                limit_age_s=round(now - limiter.changed_at, 2),
                sent_per_s=round((sent_requests - logged_requests) / (now - logged_at), 1),
                running=running,
                waiting=waiting,
            )
