"""HTTP gateway for routes: forwards any method and body without parsing the body."""
