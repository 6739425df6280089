#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cornelhill/consensus/log_entry.h"
#include "cornelhill/consensus/membership.h"

namespace cornelhill {

// In each request, `required_index` is an index that the receiver is known to
// have synced. A receiver whose log ends before it has lost its log and must
// halt.

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

// Log entries to append; a heartbeat if there are none.
struct Append {
  LogIndex previous_index = 0;
  Term previous_term;
  LogIndex commit_index = 0;
  // Number of the leader's heartbeat round. A read is confirmed by replies to a
  // round that started after the read was requested.
  uint64_t round = 0;
  LogIndex required_index = 0;
  std::vector<LogEntry> entries;

  bool operator==(const Append&) const = default;
};

struct AppendReply {
  bool matched = false;
  LogIndex previous_index = 0;
  // If matched: the log is synced and equal to the leader's log up to this
  // index.
  LogIndex synced_index = 0;
  // If not matched: the leader continues with the entry after this index.
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
