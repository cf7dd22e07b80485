"""Typed messages between nodes, their Avro schemas and their codec."""
