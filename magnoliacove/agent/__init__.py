"""The agent: one process beside each target."""

from magnoliacove.agent.process import Agent
from magnoliacove.agent.process import AgentParts

__all__ = ["Agent", "AgentParts"]
