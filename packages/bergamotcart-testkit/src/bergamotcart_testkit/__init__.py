"""bergamotcart_testkit."""
