"""The gateway: callers' HTTP requests to targets that pass work along.

Model engines hand a request to each other by themselves, so the gateway
names the whole path and sends the request to its first engine.
"""

from magnoliacove.gateway.process import Gateway

__all__ = ["Gateway"]
