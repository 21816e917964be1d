"""What crosses the link between data centres, and what may still begin.

All engines share the link, and it carries one transfer after another.  The
prompt of a request crosses at once when the request begins, and the tokens of
its answer follow one by one.  So requests that begin together delay each
other's first event, and each token of those that cross already; requests that
only generate tokens take little of the link, however long they last.
"""

from collections import deque
from dataclasses import dataclass
import math

from magnoliacove.configuration.routes import ModelShape

__all__ = ["BegunHops", "Link"]

# Share of the bandwidth that requests may use.  The rest is headroom, so that
# a transfer rarely waits for others.
_USED_SHARE = 0.75
# Seconds in which an answer is assumed to be generated.  A longer answer
# takes less of the link per second.
_ANSWER_SECONDS = 3.0
# Seconds for which a prompt may wait at the link.  The first event waits for
# it, and so does each event of the requests that cross already.
_MAX_WAIT = 0.1
# Seconds for which begun hops are remembered.  All of them together are
# allowed to wait for much less.
_REMEMBERED_SECONDS = 2.0


@dataclass(frozen=True)
class Link:
    """The bandwidth of the link, in terms of a model's requests.

    :param token_seconds: seconds in which it transfers one token of a hop.
    :param usual_prompt: mean length of a prompt in tokens.
    :param usual_answer: mean length of an answer in tokens.
    """

    token_seconds: float
    usual_prompt: float
    usual_answer: float

    @classmethod
    def of_shape(cls, shape: ModelShape) -> "Link":
        """Return the link between the engines of a model."""
        bytes_per_second = shape.link_mbps * 1e6 / 8
        token_seconds = (
            shape.hop_bytes / bytes_per_second if bytes_per_second else 0.0
        )
        return cls(token_seconds, shape.usual_prompt, shape.usual_answer)

    @property
    def prompt_seconds(self) -> float:
        """The seconds in which it transfers the prompt of a usual request."""
        return self.usual_prompt * self.token_seconds

    def compute_prompt_rate(self, hops: int) -> float:
        """Return the prompts per second that it carries beside answers.

        :param hops: hops between data centres of all requests under way.
        """
        if not self.prompt_seconds:
            return math.inf
        answers = hops * self.usual_answer * self.token_seconds
        share = _USED_SHARE - answers / _ANSWER_SECONDS
        return max(0.0, share) / self.prompt_seconds

    def may_begin(self, begun: "BegunHops", hops: int, now: float) -> bool:
        """Return whether one more request may begin to cross.

        :param begun: the hops that requests began recently.
        :param hops: hops of all requests under way.
        """
        if not self.prompt_seconds:
            return True
        rate = self.compute_prompt_rate(hops)
        return rate > 0 and begun.read_backlog(now, rate) <= _MAX_WAIT * rate

    def estimate_hop_seconds(
        self, prompt: float, answer: float, begun: "BegunHops", now: float
    ) -> float:
        """Return the seconds that one hop adds to a whole request.

        Each token of the answer crosses by itself, and waits for the prompts
        that are transferred at that moment.

        :param prompt: tokens of the prompt.
        :param answer: tokens of the answer.
        """
        used = begun.read_rate(now) * self.prompt_seconds
        used = min(used, _USED_SHARE)
        # The mean wait for transfers of equal length that begin at random.
        wait = self.prompt_seconds * used / (2 * (1 - used))
        return (prompt + answer) * self.token_seconds + answer * wait


class BegunHops:
    """The hops between data centres that requests of all gateways began."""

    def __init__(self) -> None:
        self._total = 0
        self._begun: deque[tuple[float, int]] = deque()

    def update(self, total: int, now: float) -> None:
        """Note the hops since the last update as begun now.

        :param total: number of hops that were ever begun.
        """
        if total > self._total:
            self._begun.append((now, total - self._total))
            self._total = total
        while self._begun and now - self._begun[0][0] > _REMEMBERED_SECONDS:
            self._begun.popleft()

    def read_rate(self, now: float) -> float:
        """Return the hops per second that began recently."""
        hops = sum(
            hops
            for began, hops in self._begun
            if now - began <= _REMEMBERED_SECONDS
        )
        return hops / _REMEMBERED_SECONDS

    def read_backlog(self, now: float, rate: float) -> float:
        """Return the hops whose prompts the link has not carried yet.

        :param rate: prompts that the link carries per second.
        """
        backlog, last = 0.0, -math.inf
        for began, hops in self._begun:
            backlog = max(0.0, backlog - rate * (began - last)) + hops
            last = began
        return max(0.0, backlog - rate * (now - last)) if backlog else 0.0
