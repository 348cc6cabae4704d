"""The entry engine: sessions, requests, leases held and transactions."""
