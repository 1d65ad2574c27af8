"""What is spoken: lines with clients and hosts, the catalog over HTTP."""
