#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/result.h"
#include "cornelhill/consensus/file_system.h"
#include "cornelhill/consensus/log_entry.h"
#include "cornelhill/consensus/membership.h"

namespace cornelhill {

struct LogStoreSettings {
  // A new segment file starts once the last one has reached this size. 4 MiB
  // are read and checked in a few milliseconds at start.
  uint64_t segment_bytes = 4 << 20;
};

// The data directory of one replica: log segments, hard state, snapshots and
// the member ID that they belong to. After a failed write every later one
// fails, since the content of the files is unknown then. Not thread-safe.
class LogStore {
 public:
  // Prepares a directory for a member. `bootstrap` is the first membership of a
  // new cluster, with `self` as a voter; without it the member joins as a
  // learner. With several bootstrap voters, each must be created before any
  // command is proposed, and never again: prefer one voter that adds others as
  // learners, whose lost disks are then detected. Fails with `kConflict` where
  // the directory holds a member's files.
  static Result<void> Create(FileSystem* files, const std::string& directory,
                             MemberId self,
                             const std::optional<Membership>& bootstrap);

  // Opens a directory, cuts a torn tail and checks the rest. `expected` is the
  // member ID that settings name, if any. Fails with `kNotFound` where the
  // directory holds no member ID, so that a member whose disk was lost does not
  // start under its old ID; with `kConflict` where it holds another ID; with
  // `kCorrupt` and one line that names file and offset.
  static Result<std::unique_ptr<LogStore>> Open(
      LogStoreSettings settings, FileSystem* files,
      const std::string& directory, std::optional<MemberId> expected);

  // Returns what `Open` found. Call once.
  StoredState TakeState();

  // Bytes of a torn tail that `Open` cut.
  uint64_t TruncatedBytes() const { return this->truncated_bytes; }

  // Returns the last snapshot, or none.
  Result<std::optional<Snapshot>> LoadSnapshot();

  // Carries out a request and makes it durable.
  Result<void> Persist(const PersistRequest& request);

  // Writes a snapshot of the state machine and returns `meta` with size and
  // checksum. One that is older than the last snapshot is not written.
  Result<SnapshotMeta> SaveSnapshot(SnapshotMeta meta, std::string_view data);

  // Reads a piece of a snapshot; none where the snapshot was removed. The last
  // two are kept, so that a transfer can finish after the next one is saved.
  Result<std::optional<std::string>> ReadSnapshot(LogIndex index,
                                                  uint64_t offset, size_t size);

 private:
  struct Segment {
    LogIndex first_index = 0;
    // Offset of each record, and of the end.
    std::vector<uint64_t> offsets;
    uint64_t size = 0;
  };

  struct StoredSnapshot {
    SnapshotMeta meta;
    uint64_t data_offset = 0;
  };

  LogStore(LogStoreSettings settings, FileSystem* files, std::string directory);

  Result<void> ReadIdentity(std::optional<MemberId> expected);
  Result<void> ReadSnapshots(const std::vector<std::string>& names);
  Result<void> ReadSegments(const std::vector<std::string>& names);
  Result<void> ReadSegment(LogIndex first_index, bool last);
  Result<void> DoPersist(const PersistRequest& request);
  Result<void> AppendEntries(const std::vector<LogEntry>& entries);
  Result<void> TruncateFrom(LogIndex from);
  Result<void> DiscardThrough(LogIndex through);
  Result<void> ResetLog(LogIndex first_index);
  Result<void> StartSegment(LogIndex first_index);
  Result<void> WriteSnapshot(const SnapshotMeta& meta, std::string_view data);
  Result<void> RemoveFile(const std::string& path);
  LogIndex LastIndex() const;
  std::string SegmentPath(LogIndex first_index) const;
  std::string SnapshotPath(LogIndex index) const;

  LogStoreSettings settings;
  FileSystem* files;
  std::string directory;
  std::unique_ptr<DirectoryLock> lock;
  StoredState state;
  std::vector<Segment> segments;
  std::unique_ptr<AppendFile> tail;
  // Last entry that was synced before the present batch.
  LogIndex synced_index = 0;
  std::map<LogIndex, StoredSnapshot> snapshots;
  uint64_t truncated_bytes = 0;
  bool write_failed = false;
};

}  // namespace cornelhill
