"""Gateway processes: assembly from settings, logs and metrics."""
