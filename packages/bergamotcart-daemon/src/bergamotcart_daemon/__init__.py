"""bergamotcart_daemon."""
