#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/segment/segment_messages.h"

namespace cornelhill {

// What an upstream says of itself, once a reporting period.
struct UpstreamReport {
  std::string id;           // Differs between most starts of the upstream.
  Endpoint address;         // Where the upstream receives packets.
  Incarnation incarnation;  // A later start has a higher one.
  uint64_t sequence = 0;    // Number of the report within one start.
  std::string service;
  UpstreamState state = UpstreamState::kReady;
  uint32_t slots = 1;
};

// What an agent made of a report.
enum class ReportVerdict : uint8_t {
  kAccepted = 0,
  // An earlier report of the known start, which states nothing new.
  kOutdated = 1,
  // The report is not one of the agent's upstream and changed nothing.
  kOtherService = 2,
  kOtherAddress = 3,
  kOtherUpstream = 4,  // Another ID under the known start.
  // Of a start before the known one, which may still be running.
  kEarlierStart = 5,
};

std::string_view ToString(ReportVerdict verdict);

// Whether the state of the report's sender is in force at the agent. A report
// that changed nothing must not be acknowledged: a draining upstream relies on
// the acknowledgement to receive no further flows.
constexpr bool IsInForce(ReportVerdict verdict) {
  return verdict == ReportVerdict::kAccepted ||
         verdict == ReportVerdict::kOutdated;
}

}  // namespace cornelhill
