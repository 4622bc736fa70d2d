"""BGP announcements of service addresses: a small speaker whose routes follow what the instance can serve."""
