"""Messages between processes, their codec, and the models at the border."""
