#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/consensus/membership.h"

namespace cornelhill {

enum class EntryKind : uint8_t {
  kCommand = 0,
  // Contains a complete `Membership`, which takes effect as soon as the entry
  // is appended to the log.
  kMembership = 1,
  // Appended by each new leader so that entries of earlier terms can be
  // committed.
  kNoop = 2,
};

// Number of `EntryKind` values.
constexpr uint32_t kEntryKindCount = 3;

struct LogEntry {
  LogIndex index = 0;
  Term term;
  EntryKind kind = EntryKind::kCommand;
  std::string data;

  bool operator==(const LogEntry&) const = default;
};

// State that must be durable in addition to the log.
struct HardState {
  Term term;
  MemberId vote;  // 0: no vote in this term.

  bool operator==(const HardState&) const = default;
};

struct SnapshotMeta {
  LogIndex index = 0;  // Last entry included in the snapshot.
  Term term;
  Membership membership;
  uint64_t size = 0;
  uint64_t checksum = 0;  // `Hash64` of the data.

  bool operator==(const SnapshotMeta&) const = default;
};

struct Snapshot {
  SnapshotMeta meta;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

// State that a replica recovers from its data directory at start.
struct StoredState {
  MemberId self;
  HardState hard_state;
  // Metadata of the latest snapshot; index 0 if there is none.
  SnapshotMeta snapshot;
  // Contiguous; the first index is at most `snapshot.index + 1`.
  std::vector<LogEntry> entries;
};

// Changes to write to the data directory, in the order of the fields. They must
// be durable before `Replica::Persisted` is called with `ticket`.
struct PersistRequest {
  uint64_t ticket = 0;
  std::optional<HardState> hard_state;
  // Replaces the complete log.
  std::optional<Snapshot> install;
  // Entries from this index on are removed before `entries` are appended; 0
  // removes none.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;
  // Entries up to this index may be deleted; the deletion need not be durable.
  LogIndex discard_through = 0;
};

}  // namespace cornelhill
