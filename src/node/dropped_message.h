#pragma once

#include <string_view>

#include "cornelhill/base/log.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// Logs a message that cannot be decoded. `from` is empty if the connection
// identifies the sender.
inline void LogDropped(const Error& error, std::string_view from = {}) {
  LogLine line("message_dropped");
  line.Warn();
  if (!from.empty()) line.Add("from", from);
  line.Add("detail", error.message);
}

}  // namespace cornelhill
