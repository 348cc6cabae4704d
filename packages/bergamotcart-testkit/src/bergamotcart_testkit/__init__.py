"""Stand-in targets, relays, deployments, loads and checks for tests of bergamotcart."""
