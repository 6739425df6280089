#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// What hurts a team most.
enum class Priority : uint8_t {
  kBrokenFlows,
  kHeadOfLineBlocking,
  kPeakService,
  kImbalance,
};

// Returns the name used in answers, e.g. "broken_flows". Thread-safe.
std::string_view ToString(Priority priority);

// Answers about one service. An empty optional or text means unknown.
struct ServiceAnswers {
  std::string name;
  Endpoint address;
  Protocol protocol = Protocol::kUdp;
  std::string application;  // The service's name unless stated.
  uint32_t upstreams = 1;
  uint32_t slots = 1;  // For each upstream.
  std::optional<uint32_t> connections;
  std::string short_work;
  std::optional<uint32_t> short_work_ms;
  std::optional<uint32_t> short_work_bytes;
  std::string long_work;
  std::optional<uint32_t> long_work_ms;
  std::optional<uint32_t> patience_ms;
  std::optional<uint32_t> caller_peak_rate;

  bool operator==(const ServiceAnswers&) const = default;
};

// A team's answers to the questionnaire; kept in version control as JSON.
struct Answers {
  std::string team;
  Priority top_priority = Priority::kBrokenFlows;
  std::optional<bool> sudden_demand;
  std::optional<bool> stragglers;
  std::optional<bool> heavy_callers;
  std::vector<ServiceAnswers> services;

  bool operator==(const Answers&) const = default;
};

// Reads and checks the answers file at `path`. The error is one line with the
// file, the field, the value and what is accepted. Thread-safe.
Result<Answers> LoadAnswers(const std::string& path);

// Parses and checks `text`; `file` is the name used in errors. Thread-safe.
Result<Answers> ParseAnswers(std::string_view text, const std::string& file);

// Writes the canonical form, which leaves out what is unknown. Thread-safe.
std::string WriteAnswers(const Answers& answers);

}  // namespace cornelhill
