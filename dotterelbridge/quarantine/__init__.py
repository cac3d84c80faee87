"""Requests under which targets crash are sent no more, by any VM."""
