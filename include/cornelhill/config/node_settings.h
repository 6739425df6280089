#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/log.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// What a `cornelhilld` process does in a deployment that finds its members
// through seeds.
enum class NodeRole : uint8_t {
  kEntry,    // Balancer for callers' packets.
  kSidecar,  // Agent beside one upstream.
  kCore,     // Member of the replicated log, with a disk.
};

// Settings of one process of such a deployment. `docs/settings.md` gives the
// unit and range of each.
struct NodeSettings {
  NodeRole role = NodeRole::kEntry;
  std::string platform;  // Name of the registered formats.
  std::string instance;
  std::string failure_domain;
  uint32_t address = 0;         // IPv4, host byte order.
  uint16_t base_port = 0;       // First of the ports between processes.
  std::vector<Endpoint> seeds;  // Operator addresses of core members.
  std::optional<Endpoint> packets;
  std::optional<Endpoint> outbound;
  std::optional<Endpoint> ready;
  std::optional<Endpoint> operators;
  std::string service;
  std::optional<Endpoint> upstream;
  std::string data_directory;
  bool bootstrap = false;
  // Core members that may be lost at the same time.
  size_t tolerated_failures = 1;
  size_t memory_mb = 64;  // Above it the process is killed.
  Millis grace{6000};
  Millis flow_lifetime{60000};
  Millis heartbeat{1200};
  std::optional<Endpoint> metrics;
  LogLevel log_level = LogLevel::kInfo;
  std::string path;  // Of the file that the settings were read from.

  bool operator==(const NodeSettings&) const = default;

  // Where core members reach each other and are reached.
  Endpoint CoreAddress() const { return {this->address, this->base_port}; }
  // Where balancers and agents reach each other.
  Endpoint DataAddress() const {
    return {this->address, static_cast<uint16_t>(this->base_port + 1)};
  }
  // The core address of the process whose operator address is `seed`.
  Endpoint CoreAddressOf(const Endpoint& seed) const {
    return {seed.address, this->base_port};
  }
};

// Whether the text is for `ParseNodeSettings`: it names a platform.
bool IsNodeSettings(std::string_view text);

// Parses and checks `text`; `file` is the name used in errors. Unknown fields
// are errors. Thread-safe.
Result<NodeSettings> ParseNodeSettings(std::string_view text,
                                       const std::string& file);

// Reads a settings file. Thread-safe.
Result<NodeSettings> LoadNodeSettings(const std::string& path);

}  // namespace cornelhill
