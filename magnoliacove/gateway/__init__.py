"""The gateway: forwards callers' HTTP requests to targets.

Model engines pass a request on to each other, so the gateway sends the whole
path along with the request to the first engine.
"""

from magnoliacove.gateway.process import Gateway

__all__ = ["Gateway"]
