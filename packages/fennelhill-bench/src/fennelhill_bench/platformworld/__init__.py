"""The users' platform as stand-ins on sockets: store, orders, targets, clients."""
