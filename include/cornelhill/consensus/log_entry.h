#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/consensus/membership.h"

namespace cornelhill {

enum class EntryKind : uint8_t {
  kCommand = 0,
  // Holds a whole `Membership`, in effect from the moment it is in the log.
  kMembership = 1,
  // Written by each new leader so that older terms' entries can be committed.
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

// What a replica must never forget besides the log.
struct HardState {
  Term term;
  MemberId vote;  // 0: none in this term.

  bool operator==(const HardState&) const = default;
};

struct SnapshotMeta {
  LogIndex index = 0;  // Last entry that the snapshot covers.
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

// What a replica starts from: the content of its data directory.
struct StoredState {
  MemberId self;
  HardState hard_state;
  // Last snapshot without its data; index 0 where there is none.
  SnapshotMeta snapshot;
  // Contiguous; the first one is at most `snapshot.index + 1`.
  std::vector<LogEntry> entries;
};

// Changes to write to the data directory, in the order of the fields, durable
// before `Replica::Persisted` is called with `ticket`.
struct PersistRequest {
  uint64_t ticket = 0;
  std::optional<HardState> hard_state;
  // Replaces the whole log.
  std::optional<Snapshot> install;
  // Entries from this index on are removed first; 0 removes none.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;
  // Entries up to this index may be deleted; not needed for durability.
  LogIndex discard_through = 0;
};

}  // namespace cornelhill
