#pragma once

#include "cornelhill/base/result.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/api.h"
#include "cornelhill/segment/listener_table.h"
#include "cornelhill/segment/segment.h"

namespace cornelhill {

// The registered formats of the platform that a process runs on.
struct PlatformFormats {
  SegmentFormat segment;
  ListenerFormat listener;
  ApiFormat api;
};

// Fails with `kInvalidArgument` where the platform is not built in.
Result<PlatformFormats> FindFormats(const std::string& platform);

// Each runs until the process is told to stop. Fails where it cannot start.
Result<void> RunNode(const NodeSettings& settings);
Result<void> RunEntry(const NodeSettings& settings,
                      const PlatformFormats& formats);
Result<void> RunSidecar(const NodeSettings& settings,
                        const PlatformFormats& formats);
Result<void> RunCore(const NodeSettings& settings,
                     const PlatformFormats& formats);

}  // namespace cornelhill
