"""The agent: the process that runs beside each target and serves it.

It receives requests from entries, the processes that accept callers'
requests, and exchanges steps and KV caches with other agents.
"""

from magnoliacove.agent.process import Agent
from magnoliacove.agent.process import AgentParts

__all__ = ["Agent", "AgentParts"]
