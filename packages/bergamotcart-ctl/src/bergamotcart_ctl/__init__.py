"""Command line for operators of bergamotcart."""
