"""Online requests at a gateway: admission, attempts and retries."""
