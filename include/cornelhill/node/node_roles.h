#pragma once

#include "cornelhill/base/result.h"
#include "cornelhill/config/node_settings.h"
#include "cornelhill/node/api.h"
#include "cornelhill/segment/listener_table.h"
#include "cornelhill/segment/segment.h"

namespace cornelhill {

// Wire formats of the platform that a process runs on.
struct PlatformFormats {
  SegmentFormat segment;
  ListenerFormat listener;
  ApiFormat api;
};

// Returns the registered formats of `platform`. Fails with `kInvalidArgument`
// if the platform is not built in.
Result<PlatformFormats> FindFormats(const std::string& platform);

// Run a process until a signal stops it. Fail if the process cannot start.
// `RunNode` selects the role that the settings name.
Result<void> RunNode(const NodeSettings& settings);
Result<void> RunEntry(const NodeSettings& settings,
                      const PlatformFormats& formats);
Result<void> RunSidecar(const NodeSettings& settings,
                        const PlatformFormats& formats);
Result<void> RunCore(const NodeSettings& settings,
                     const PlatformFormats& formats);

}  // namespace cornelhill
