"""Stand-ins for the cases of the review: the store, servers and clients.

They use only the standard library, so that they run wherever the system does.
"""
