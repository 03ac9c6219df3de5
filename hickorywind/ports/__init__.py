"""Define what the product needs from the protocols and the platform around it."""
