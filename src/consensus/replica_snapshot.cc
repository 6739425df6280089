// Snapshots: saving them, sending them to members that lag far behind, and
// installing them.

#include <algorithm>

#include "cornelhill/base/hash.h"
#include "cornelhill/consensus/replica.h"

namespace cornelhill {

void Replica::SnapshotSaved(Millis /*now*/, const SnapshotMeta& meta) {
  this->snapshot_requested = false;
  if (this->halted || this->installing || meta.index <= this->snapshot.index ||
      meta.index > this->applied_index) {
    return;
  }
  this->snapshot = meta;
  this->applied_bytes = 0;
  this->applied_entries = this->applied_index - meta.index;
  this->MutablePersistRequest()->discard_through = meta.index;
  while (this->memberships.size() > 1 &&
         this->memberships[1].first <= meta.index) {
    this->memberships.erase(this->memberships.begin());
  }
  const LogIndex base = this->log.BaseFor(meta.index, this->settings.keep_bytes,
                                          this->settings.keep_entries);
  if (base > this->log.BaseIndex()) this->log.Discard(base);
}

void Replica::OnSnapshotChunk(Millis now, MemberId from,
                              const SnapshotChunk& chunk) {
  if (this->role == ReplicaRole::kLeader) return;
  this->FollowLeader(now, from);
  if (this->HaltIfLogLost(chunk.required_index) || this->installing) return;
  const SnapshotMeta& meta = chunk.meta;
  if (meta.index <= this->commit_index ||
      (this->log.HasTermAt(meta.index) &&
       this->log.TermAt(meta.index) == meta.term)) {
    this->commit_index = std::max(this->commit_index, meta.index);
    this->matched_index = std::max(this->matched_index, this->commit_index);
    this->reply_when_synced = this->synced_index < this->matched_index;
    this->ReplyMatched(from, meta.index, 0);
    return;
  }
  if (meta.size > this->settings.max_snapshot_bytes) {
    this->Halt("the leader's snapshot has " + std::to_string(meta.size) +
               " bytes; the limit is " +
               std::to_string(this->settings.max_snapshot_bytes));
    return;
  }
  if (!this->incoming_snapshot || this->incoming_snapshot->meta != meta) {
    if (chunk.offset != 0) {
      this->Send(from, this->hard_state.term, SnapshotReply{meta.index, 0});
      return;
    }
    this->incoming_snapshot = Snapshot{meta, {}};
  }
  std::string& data = this->incoming_snapshot->data;
  if (chunk.offset == data.size() &&
      chunk.data.size() <= meta.size - data.size()) {
    data += chunk.data;
  }
  if (data.size() == meta.size) {
    if (Hash64(data) != meta.checksum) {
      this->incoming_snapshot.reset();
      this->Send(from, this->hard_state.term, SnapshotReply{meta.index, 0});
      return;
    }
    this->installing = true;
    PersistRequest* request = this->MutablePersistRequest();
    request->install = *this->incoming_snapshot;
    request->truncate_from = 0;
    request->entries.clear();
  }
  this->Send(from, this->hard_state.term,
             SnapshotReply{meta.index, data.size()});
}

void Replica::OnSnapshotReply(Millis now, MemberId from,
                              const SnapshotReply& reply) {
  const auto found = this->progress.find(from);
  if (this->role != ReplicaRole::kLeader || found == this->progress.end())
    return;
  Progress& state = found->second;
  state.last_contact = now;
  if (state.mode != ReplicationMode::kSnapshot ||
      reply.index != state.snapshot.index ||
      reply.next_offset > state.snapshot.size ||
      reply.next_offset == state.snapshot_offset) {
    return;
  }
  state.snapshot_offset = reply.next_offset;
  state.last_chunk = now;
  // After the last chunk, the member installs the snapshot and then
  // acknowledges its index.
  if (reply.next_offset < state.snapshot.size) {
    this->RequestChunk(now, from, &state);
  }
}

void Replica::SnapshotChunkRead(Millis now, const SnapshotRead& read,
                                std::optional<std::string> data) {
  const auto found = this->progress.find(read.to);
  if (this->halted || this->role != ReplicaRole::kLeader ||
      found == this->progress.end()) {
    return;
  }
  Progress& state = found->second;
  if (state.mode != ReplicationMode::kSnapshot ||
      read.index != state.snapshot.index ||
      read.offset != state.snapshot_offset) {
    return;
  }
  if (!data) {
    if (state.snapshot.index != this->snapshot.index) {
      this->StartSnapshot(now, read.to, &state);
    }
    return;
  }
  this->Send(read.to, this->hard_state.term,
             SnapshotChunk{state.snapshot, read.offset, std::move(*data),
                           this->RequiredIndex(read.to)});
}

void Replica::StartSnapshot(Millis now, MemberId to, Progress* progress) {
  progress->mode = ReplicationMode::kSnapshot;
  progress->snapshot = this->snapshot;
  progress->snapshot_offset = 0;
  progress->in_flight.clear();
  progress->in_flight_bytes = 0;
  this->RequestChunk(now, to, progress);
}

void Replica::RequestChunk(Millis now, MemberId to, Progress* progress) {
  progress->last_chunk = now;
  const uint64_t left = progress->snapshot.size - progress->snapshot_offset;
  this->output.snapshot_reads.push_back(
      {to, progress->snapshot.index, progress->snapshot_offset,
       std::min<size_t>(left, this->settings.snapshot_chunk_bytes)});
}

void Replica::FinishSnapshotInstall() {
  this->installing = false;
  Snapshot installed = std::move(*this->incoming_snapshot);
  this->incoming_snapshot.reset();
  this->snapshot = installed.meta;
  this->log = MemoryLog(this->snapshot.index, this->snapshot.term);
  this->memberships = {{this->snapshot.index, this->snapshot.membership}};
  this->synced_index = this->snapshot.index;
  this->commit_index = this->snapshot.index;
  this->applied_index = this->snapshot.index;
  this->matched_index = std::max(this->matched_index, this->snapshot.index);
  this->applied_bytes = 0;
  this->applied_entries = 0;
  this->snapshot_requested = false;
  this->output.committed.clear();
  this->output.snapshot_request.reset();
  this->output.restore = std::move(installed);
  this->reply_when_synced = true;
}

}  // namespace cornelhill
