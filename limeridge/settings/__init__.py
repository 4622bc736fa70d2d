"""Settings of tools and new parts: protobuf text format, checked, with the place of each fault."""
