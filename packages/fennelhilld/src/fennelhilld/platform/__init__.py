"""Platform: clients of the table service, object store and host list."""
