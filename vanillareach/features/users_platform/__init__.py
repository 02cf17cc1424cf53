"""Small stand-ins of the users' platform, over loopback sockets."""
