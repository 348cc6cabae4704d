"""The operator command line of bergamotcart."""
