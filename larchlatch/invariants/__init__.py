"""Checkers that judge a played scenario from outside."""
