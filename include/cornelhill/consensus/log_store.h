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
  // A new segment file is started once the current one has reached this size.
  // Reading and verifying 4 MiB at start takes a few milliseconds.
  uint64_t segment_bytes = 4 << 20;
};

// The data directory of one replica: log segments, hard state, snapshots and
// the member ID that owns them. After a failed write all later writes fail,
// because the content of the files is then undefined. Not thread-safe.
class LogStore {
 public:
  // Initializes a data directory for a member. `bootstrap` is the initial
  // membership of a new cluster and must contain `self` as a voter; without it
  // the member joins as a learner. If `bootstrap` has several voters, the
  // directory of each must be created before any command is proposed, and must
  // never be created again. Prefer a single bootstrap voter that adds the
  // others as learners: a lost disk of such a member is detected. Removes what
  // an interrupted call has left. Fails with `kConflict` if the directory
  // already has a member ID.
  static Result<void> Create(FileSystem* files, const std::string& directory,
                             MemberId self,
                             const std::optional<Membership>& bootstrap);

  // Opens a data directory, truncates a torn write at the end of the log and
  // verifies the rest. `expected` is the member ID given by the settings, if
  // any. Fails with `kNotFound` if the directory has no member ID, so that a
  // member whose disk was lost does not start under its old ID; with
  // `kConflict` if it has another ID; with `kCorrupt` and a one-line message
  // that names file and offset.
  static Result<std::unique_ptr<LogStore>> Open(
      LogStoreSettings settings, FileSystem* files,
      const std::string& directory, std::optional<MemberId> expected);

  // Returns the state that `Open` read. Must be called at most once.
  StoredState TakeState();

  // Number of bytes that `Open` truncated from the end of the log.
  uint64_t TruncatedBytes() const { return this->truncated_bytes; }

  // Returns the latest snapshot, or nullopt if there is none.
  Result<std::optional<Snapshot>> LoadSnapshot();

  // Applies a request and makes it durable.
  Result<void> Persist(const PersistRequest& request);

  // Writes a snapshot of the state machine and returns `meta` with size and
  // checksum filled in. A snapshot that is not newer than the latest one is not
  // written.
  Result<SnapshotMeta> SaveSnapshot(SnapshotMeta meta, std::string_view data);

  // Reads part of a snapshot; nullopt if the snapshot was removed. The two
  // latest snapshots are kept, so that a transfer can finish after a newer one
  // is saved.
  Result<std::optional<std::string>> ReadSnapshot(LogIndex index,
                                                  uint64_t offset, size_t size);

 private:
  struct Segment {
    LogIndex first_index = 0;
    // Offset of each record in the file.
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
  // Last entry that was synced before the current batch.
  LogIndex synced_index = 0;
  std::map<LogIndex, StoredSnapshot> snapshots;
  uint64_t truncated_bytes = 0;
  bool write_failed = false;
};

}  // namespace cornelhill
