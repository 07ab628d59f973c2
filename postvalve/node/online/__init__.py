"""Online requests at a gateway: admission, attempts, retries."""
