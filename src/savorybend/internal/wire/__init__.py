"""Messages between daemons; `codec` turns them into bytes and back."""
