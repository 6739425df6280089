#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cornelhill/consensus/log_entry.h"
#include "cornelhill/consensus/membership.h"

namespace cornelhill {

// In each request, `required_index` is an index that the receiver is known to
// have synced. A receiver that holds less has lost its log and must stop.

struct VoteRequest {
  bool pre_vote = false;
  LogIndex last_index = 0;
  Term last_term;
  LogIndex required_index = 0;

  bool operator==(const VoteRequest&) const = default;
};

struct VoteReply {
  bool pre_vote = false;
  bool granted = false;

  bool operator==(const VoteReply&) const = default;
};

// Entries, or a heartbeat where there are none.
struct Append {
  LogIndex previous_index = 0;
  Term previous_term;
  LogIndex commit_index = 0;
  // Numbers the leader's broadcasts; a read is confirmed by replies to a round
  // that started after it.
  uint64_t round = 0;
  LogIndex required_index = 0;
  std::vector<LogEntry> entries;

  bool operator==(const Append&) const = default;
};

struct AppendReply {
  bool matched = false;
  LogIndex previous_index = 0;
  // Where matched: the log equals the leader's and is synced up to here.
  LogIndex synced_index = 0;
  // Where not matched: the leader continues after this index.
  LogIndex hint_index = 0;
  uint64_t round = 0;

  bool operator==(const AppendReply&) const = default;
};

struct SnapshotChunk {
  SnapshotMeta meta;
  uint64_t offset = 0;
  std::string data;
  LogIndex required_index = 0;

  bool operator==(const SnapshotChunk&) const = default;
};

struct SnapshotReply {
  LogIndex index = 0;
  uint64_t next_offset = 0;

  bool operator==(const SnapshotReply&) const = default;
};

struct ConsensusMessage {
  MemberId from;
  MemberId to;
  Term term;
  std::variant<VoteRequest, VoteReply, Append, AppendReply, SnapshotChunk,
               SnapshotReply>
      body;

  bool operator==(const ConsensusMessage&) const = default;
};

}  // namespace cornelhill
