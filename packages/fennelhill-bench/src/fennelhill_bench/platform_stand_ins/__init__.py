"""Stand-ins for the users' platform on sockets: store, orders, targets, clients."""
