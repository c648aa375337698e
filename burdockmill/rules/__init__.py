"""Read, check and compare operators' rules.

A rule is one line of the operators' text. The text is published in chunks, which hosts
fetch by their digest. A slot is one of the hash values that record keys map to; the
`slots` of an upstream are the requests that it runs at a time.
"""
