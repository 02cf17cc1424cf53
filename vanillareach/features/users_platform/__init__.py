"""Stand-ins of the users' platform in one process, over loopback sockets."""
