"""Searches every order of events in a small electorate for a lease held twice."""
