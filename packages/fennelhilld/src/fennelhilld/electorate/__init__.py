"""The electorate: the hosts whose majorities confirm leases and acknowledge claims."""
