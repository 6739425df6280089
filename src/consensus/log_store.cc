#include "cornelhill/consensus/log_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "checksummed_file.h"
#include "cornelhill/base/hash.h"
#include "cornelhill/consensus/consensus_codec.h"
#include "log_record.h"

namespace cornelhill {

namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kStateName = "state";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr size_t kIndexDigits = 20;
constexpr size_t kKeptSnapshots = 2;

std::string JoinPath(const std::string& directory, std::string_view name) {
  return directory + "/" + std::string(name);
}

std::string NumberedName(std::string_view prefix, LogIndex index) {
  const std::string digits = std::to_string(index);
  return std::string(prefix) +
         std::string(kIndexDigits - std::min(kIndexDigits, digits.size()),
                     '0') +
         digits;
}

// Returns the index in a name created by `NumberedName`.
std::optional<LogIndex> ParseNumberedName(std::string_view prefix,
                                          std::string_view name) {
  if (!name.starts_with(prefix)) return std::nullopt;
  name.remove_prefix(prefix.size());
  LogIndex index = 0;
  const auto [end, error] =
      std::from_chars(name.data(), name.data() + name.size(), index);
  if (error != std::errc() || end != name.data() + name.size() ||
      name.size() != kIndexDigits) {
    return std::nullopt;
  }
  return index;
}

std::string EncodeNumbers(uint64_t first, uint64_t second) {
  std::string out;
  AppendLittleEndian(&out, first, 8);
  AppendLittleEndian(&out, second, 8);
  return out;
}

constexpr uint64_t kFormatVersion = 1;

}  // namespace

LogStore::LogStore(LogStoreSettings settings, FileSystem* files,
                   std::string directory)
    : settings(settings), files(files), directory(std::move(directory)) {}

std::string LogStore::SegmentPath(LogIndex first_index) const {
  return JoinPath(this->directory, NumberedName(kSegmentPrefix, first_index));
}

std::string LogStore::SnapshotPath(LogIndex index) const {
  return JoinPath(this->directory, NumberedName(kSnapshotPrefix, index));
}

LogIndex LogStore::LastIndex() const {
  const Segment& last = this->segments.back();
  return last.first_index + last.offsets.size() - 1;
}

namespace {

// Removes what an initialization that was interrupted has left. The identity is
// written last, so without it no member has used the other files.
Result<void> RemoveUnfinished(FileSystem* files, const std::string& directory) {
  BOOST_OUTCOME_TRY(names, files->List(directory));
  if (std::find(names.begin(), names.end(), kIdentityName) != names.end()) {
    return Error{ErrorCode::kConflict, "data directory " + directory +
                                           " already belongs to a member"};
  }
  for (const std::string& name : names) {
    if (name == kStateName || name.starts_with(kSegmentPrefix) ||
        name.starts_with(kSnapshotPrefix) || name.ends_with(kTemporarySuffix)) {
      BOOST_OUTCOME_TRY(files->Remove(JoinPath(directory, name)));
    }
  }
  return files->SyncDirectory(directory);
}

}  // namespace

Result<void> LogStore::Create(FileSystem* files, const std::string& directory,
                              MemberId self,
                              const std::optional<Membership>& bootstrap) {
  if (self == MemberId() || (bootstrap && !IsVoter(*bootstrap, self))) {
    return Error{ErrorCode::kInvalidArgument,
                 "member " + std::to_string(self.Value()) +
                     " is 0 or not a voter of the initial membership"};
  }
  BOOST_OUTCOME_TRY(files->CreateDirectory(directory));
  BOOST_OUTCOME_TRY(lock, files->Lock(directory));
  BOOST_OUTCOME_TRY(RemoveUnfinished(files, directory));
  LogStore store({}, files, directory);
  store.lock = std::move(lock);
  BOOST_OUTCOME_TRY(store.StartSegment(1));
  HardState hard_state;
  if (bootstrap) {
    hard_state.term = Term(1);
    BOOST_OUTCOME_TRY(store.AppendEntries(
        {{1, Term(1), EntryKind::kMembership, Encode(*bootstrap)}}));
  }
  BOOST_OUTCOME_TRY(ReplaceChecksummedFile(
      files, directory, JoinPath(directory, kStateName),
      EncodeNumbers(hard_state.term.Value(), hard_state.vote.Value()), {}));
  // Written last, so that a directory with a member ID is completely
  // initialized.
  return ReplaceChecksummedFile(
      files, directory, JoinPath(directory, kIdentityName),
      EncodeNumbers(kFormatVersion, self.Value()), {});
}

Result<std::unique_ptr<LogStore>> LogStore::Open(
    LogStoreSettings settings, FileSystem* files, const std::string& directory,
    std::optional<MemberId> expected) {
  std::unique_ptr<LogStore> store(new LogStore(settings, files, directory));
  BOOST_OUTCOME_TRY(files->CreateDirectory(directory));
  BOOST_OUTCOME_TRY(lock, files->Lock(directory));
  store->lock = std::move(lock);
  BOOST_OUTCOME_TRY(store->ReadIdentity(expected));
  const std::string state_path = JoinPath(directory, kStateName);
  Result<ChecksummedFile> state_file = ReadChecksummedFile(files, state_path);
  if (state_file.has_error() &&
      state_file.error().code == ErrorCode::kNotFound) {
    // Not an empty directory: it has a member ID.
    return CorruptFileError(state_path, 0, "the file is missing");
  }
  BOOST_OUTCOME_TRY(file, std::move(state_file));
  if (file.payload.size() != 16) {
    return CorruptFileError(state_path, 0,
                            "the payload does not have 16 bytes");
  }
  store->state.hard_state = {Term(ReadLittleEndian(file.payload, 0, 8)),
                             MemberId(ReadLittleEndian(file.payload, 8, 8))};
  BOOST_OUTCOME_TRY(names, files->List(directory));
  for (const std::string& name : names) {
    if (!name.ends_with(kTemporarySuffix)) continue;
    BOOST_OUTCOME_TRY(files->Remove(JoinPath(directory, name)));
  }
  BOOST_OUTCOME_TRY(store->ReadSnapshots(names));
  BOOST_OUTCOME_TRY(store->ReadSegments(names));
  return store;
}

StoredState LogStore::TakeState() { return std::move(this->state); }

Result<void> LogStore::ReadIdentity(std::optional<MemberId> expected) {
  const std::string path = JoinPath(this->directory, kIdentityName);
  Result<ChecksummedFile> file = ReadChecksummedFile(this->files, path);
  if (file.has_error() && file.error().code == ErrorCode::kNotFound) {
    return Error{
        ErrorCode::kNotFound,
        "data directory " + this->directory + " holds no member ID" +
            (expected
                 ? ", expected member " + std::to_string(expected->Value()) +
                       ": if its disk was lost, join under a new ID"
                 : "")};
  }
  BOOST_OUTCOME_TRY(found, std::move(file));
  if (found.payload.size() != 16 ||
      ReadLittleEndian(found.payload, 0, 8) != kFormatVersion) {
    return CorruptFileError(path, 0, "the format version is unknown");
  }
  this->state.self = MemberId(ReadLittleEndian(found.payload, 8, 8));
  if (expected && *expected != this->state.self) {
    return Error{ErrorCode::kConflict,
                 "data directory " + this->directory + " belongs to member " +
                     std::to_string(this->state.self.Value()) +
                     ", expected member " + std::to_string(expected->Value())};
  }
  return boost::outcome_v2::success();
}

Result<void> LogStore::ReadSnapshots(const std::vector<std::string>& names) {
  LogIndex newest = 0;
  std::vector<LogIndex> indexes;
  for (const std::string& name : names) {
    const auto index = ParseNumberedName(kSnapshotPrefix, name);
    if (!index) continue;
    indexes.push_back(*index);
    newest = std::max(newest, *index);
  }
  if (indexes.empty()) return boost::outcome_v2::success();
  const std::string path = this->SnapshotPath(newest);
  BOOST_OUTCOME_TRY(file, ReadChecksummedFile(this->files, path));
  const Result<SnapshotMeta> meta = DecodeSnapshotMeta(file.payload);
  if (meta.has_error() || meta.value().index != newest) {
    return CorruptFileError(path, 0,
                            "the metadata does not match the file name");
  }
  this->state.snapshot = meta.value();
  this->snapshots[newest] = {meta.value(), file.data_offset};
  BOOST_OUTCOME_TRY(this->LoadSnapshot());
  for (const LogIndex index : indexes) {
    if (index == newest) continue;
    BOOST_OUTCOME_TRY(this->RemoveFile(this->SnapshotPath(index)));
  }
  return boost::outcome_v2::success();
}

Result<std::optional<Snapshot>> LogStore::LoadSnapshot() {
  if (this->snapshots.empty()) return std::optional<Snapshot>();
  const StoredSnapshot& stored = this->snapshots.rbegin()->second;
  const std::string path = this->SnapshotPath(stored.meta.index);
  BOOST_OUTCOME_TRY(
      data, this->files->Read(path, stored.data_offset, stored.meta.size));
  if (data.size() != stored.meta.size || Hash64(data) != stored.meta.checksum) {
    return CorruptFileError(path, stored.data_offset,
                            "the checksum of the data does not match");
  }
  return std::optional<Snapshot>(Snapshot{stored.meta, std::move(data)});
}

Result<void> LogStore::ReadSegments(const std::vector<std::string>& names) {
  std::vector<LogIndex> indexes;
  for (const std::string& name : names) {
    const auto index = ParseNumberedName(kSegmentPrefix, name);
    if (index) indexes.push_back(*index);
  }
  for (size_t i = 0; i < indexes.size(); ++i) {
    BOOST_OUTCOME_TRY(this->ReadSegment(indexes[i], i + 1 == indexes.size()));
  }
  const LogIndex after = this->state.snapshot.index + 1;
  std::vector<LogEntry>& entries = this->state.entries;
  const bool starts_after =
      !this->segments.empty() && this->segments.front().first_index == after;
  bool holds_snapshot = starts_after;
  if (!starts_after && !entries.empty() && entries.front().index < after &&
      entries.back().index >= this->state.snapshot.index) {
    const LogEntry& entry =
        entries[this->state.snapshot.index - entries.front().index];
    holds_snapshot = entry.term == this->state.snapshot.term;
  }
  if (!holds_snapshot) {
    // A crash occurred between writing a received snapshot and replacing the
    // log.
    if (this->state.snapshot.index == 0 ||
        (!this->segments.empty() &&
         this->segments.front().first_index > after)) {
      return CorruptFileError(
          this->SegmentPath(after), 0,
          "the segment is missing, or the log does not follow the snapshot");
    }
    entries.clear();
    return this->ResetLog(after);
  }
  BOOST_OUTCOME_TRY(tail, this->files->OpenAppend(this->SegmentPath(
                              this->segments.back().first_index)));
  this->tail = std::move(tail);
  // After a process crash, entries that were read may not be synced yet.
  BOOST_OUTCOME_TRY(this->tail->Sync());
  BOOST_OUTCOME_TRY(this->files->SyncDirectory(this->directory));
  this->synced_index = this->LastIndex();
  return boost::outcome_v2::success();
}

Result<void> LogStore::ReadSegment(LogIndex first_index, bool last) {
  const std::string path = this->SegmentPath(first_index);
  BOOST_OUTCOME_TRY(size, this->files->Size(path));
  BOOST_OUTCOME_TRY(bytes, this->files->Read(path, 0, size));
  if (ReadSegmentHeader(bytes) != std::optional<LogIndex>(first_index)) {
    // A crash occurred while the segment was created: records are written only
    // after its header is synced. Such a segment follows another segment or a
    // received snapshot.
    const bool follows = !this->segments.empty() ||
                         (this->state.snapshot.index > 0 &&
                          first_index == this->state.snapshot.index + 1);
    if (last && follows && bytes.size() <= kSegmentHeaderBytes) {
      this->truncated_bytes += bytes.size();
      return this->RemoveFile(path);
    }
    return CorruptFileError(path, 0, "the segment header is damaged");
  }
  if (!this->segments.empty() && this->LastIndex() + 1 != first_index) {
    return CorruptFileError(path, 0,
                            "the segment before it ends at index " +
                                std::to_string(this->LastIndex()));
  }
  Segment segment;
  segment.first_index = first_index;
  uint64_t offset = kSegmentHeaderBytes;
  while (offset < bytes.size()) {
    const LogIndex index = first_index + segment.offsets.size();
    std::optional<LogRecord> record = ReadRecord(bytes, offset);
    if (!record) {
      if (!last || WasSynced(bytes, offset, index)) {
        return CorruptFileError(path, offset,
                                "the record of index " + std::to_string(index) +
                                    " is damaged before the end of the log");
      }
      this->truncated_bytes += bytes.size() - offset;
      BOOST_OUTCOME_TRY(this->files->Truncate(path, offset));
      break;
    }
    if (record->entry.index != index) {
      return CorruptFileError(path, offset,
                              "the record has index " +
                                  std::to_string(record->entry.index) +
                                  " instead of " + std::to_string(index));
    }
    segment.offsets.push_back(offset);
    offset += kRecordHeaderBytes + record->entry.data.size();
    this->state.entries.push_back(std::move(record->entry));
  }
  segment.size = offset;
  this->segments.push_back(std::move(segment));
  return boost::outcome_v2::success();
}

Result<void> LogStore::Persist(const PersistRequest& request) {
  if (this->write_failed) {
    return Error{ErrorCode::kIo, "an earlier write to " + this->directory +
                                     " failed; restart to read it again"};
  }
  Result<void> done = this->DoPersist(request);
  this->write_failed = done.has_error();
  return done;
}

Result<void> LogStore::DoPersist(const PersistRequest& request) {
  if (request.hard_state) {
    BOOST_OUTCOME_TRY(ReplaceChecksummedFile(
        this->files, this->directory, JoinPath(this->directory, kStateName),
        EncodeNumbers(request.hard_state->term.Value(),
                      request.hard_state->vote.Value()),
        {}));
  }
  if (request.install) {
    const SnapshotMeta& meta = request.install->meta;
    BOOST_OUTCOME_TRY(this->WriteSnapshot(meta, request.install->data));
    BOOST_OUTCOME_TRY(this->ResetLog(meta.index + 1));
  }
  if (request.truncate_from != 0) {
    BOOST_OUTCOME_TRY(this->TruncateFrom(request.truncate_from));
  }
  if (!request.entries.empty()) {
    BOOST_OUTCOME_TRY(this->AppendEntries(request.entries));
  }
  return this->DiscardThrough(request.discard_through);
}

Result<void> LogStore::AppendEntries(const std::vector<LogEntry>& entries) {
  if (entries.front().index != this->LastIndex() + 1) {
    return Error{ErrorCode::kInvalidArgument,
                 "entry " + std::to_string(entries.front().index) +
                     " does not follow index " +
                     std::to_string(this->LastIndex())};
  }
  if (this->segments.back().size >= this->settings.segment_bytes) {
    BOOST_OUTCOME_TRY(this->StartSegment(entries.front().index));
  }
  Segment& segment = this->segments.back();
  std::string bytes;
  for (const LogEntry& entry : entries) {
    segment.offsets.push_back(segment.size + bytes.size());
    AppendRecord(&bytes, entry, this->synced_index);
  }
  segment.size += bytes.size();
  BOOST_OUTCOME_TRY(WriteAll(this->tail.get(), bytes));
  BOOST_OUTCOME_TRY(this->tail->Sync());
  this->synced_index = this->LastIndex();
  return boost::outcome_v2::success();
}

Result<void> LogStore::TruncateFrom(LogIndex from) {
  if (from > this->LastIndex()) return boost::outcome_v2::success();
  // Removes the last segment first, so that a crash leaves no gap.
  while (this->segments.size() > 1 &&
         this->segments.back().first_index >= from) {
    this->tail.reset();
    BOOST_OUTCOME_TRY(
        this->RemoveFile(this->SegmentPath(this->segments.back().first_index)));
    this->segments.pop_back();
  }
  Segment& segment = this->segments.back();
  if (from < segment.first_index) {
    return Error{
        ErrorCode::kInvalidArgument,
        "index " + std::to_string(from) + " is before the start of the log"};
  }
  const size_t kept = from - segment.first_index;
  const std::string path = this->SegmentPath(segment.first_index);
  if (kept < segment.offsets.size()) {
    this->tail.reset();
    BOOST_OUTCOME_TRY(this->files->Truncate(path, segment.offsets[kept]));
    segment.size = segment.offsets[kept];
    segment.offsets.resize(kept);
  }
  this->synced_index = std::min(this->synced_index, from - 1);
  if (this->tail == nullptr) {
    BOOST_OUTCOME_TRY(tail, this->files->OpenAppend(path));
    this->tail = std::move(tail);
  }
  return boost::outcome_v2::success();
}

Result<void> LogStore::DiscardThrough(LogIndex through) {
  // Keeps the last segment and removes the oldest first, so that a crash leaves
  // no gap.
  while (this->segments.size() > 1 &&
         this->segments[1].first_index <= through + 1) {
    BOOST_OUTCOME_TRY(this->RemoveFile(
        this->SegmentPath(this->segments.front().first_index)));
    this->segments.erase(this->segments.begin());
  }
  return boost::outcome_v2::success();
}

Result<void> LogStore::ResetLog(LogIndex first_index) {
  this->tail.reset();
  while (!this->segments.empty()) {
    BOOST_OUTCOME_TRY(
        this->RemoveFile(this->SegmentPath(this->segments.back().first_index)));
    this->segments.pop_back();
  }
  this->synced_index = first_index - 1;
  return this->StartSegment(first_index);
}

Result<void> LogStore::StartSegment(LogIndex first_index) {
  BOOST_OUTCOME_TRY(file, this->files->Create(this->SegmentPath(first_index)));
  BOOST_OUTCOME_TRY(WriteAll(file.get(), SegmentHeader(first_index)));
  BOOST_OUTCOME_TRY(file->Sync());
  BOOST_OUTCOME_TRY(this->files->SyncDirectory(this->directory));
  this->tail = std::move(file);
  Segment segment;
  segment.first_index = first_index;
  segment.size = kSegmentHeaderBytes;
  this->segments.push_back(std::move(segment));
  return boost::outcome_v2::success();
}

Result<SnapshotMeta> LogStore::SaveSnapshot(SnapshotMeta meta,
                                            std::string_view data) {
  meta.size = data.size();
  meta.checksum = Hash64(data);
  if (!this->snapshots.empty() &&
      this->snapshots.rbegin()->first >= meta.index) {
    return meta;
  }
  if (this->write_failed) {
    return Error{ErrorCode::kIo,
                 "an earlier write to " + this->directory + " failed"};
  }
  const Result<void> done = this->WriteSnapshot(meta, data);
  if (done.has_error()) {
    this->write_failed = true;
    return done.error();
  }
  return meta;
}

Result<void> LogStore::WriteSnapshot(const SnapshotMeta& meta,
                                     std::string_view data) {
  const std::string payload = Encode(meta);
  const std::string path = this->SnapshotPath(meta.index);
  BOOST_OUTCOME_TRY(ReplaceChecksummedFile(this->files, this->directory, path,
                                           payload, data));
  BOOST_OUTCOME_TRY(file, ReadChecksummedFile(this->files, path));
  this->snapshots[meta.index] = {meta, file.data_offset};
  while (this->snapshots.size() > kKeptSnapshots) {
    BOOST_OUTCOME_TRY(
        this->RemoveFile(this->SnapshotPath(this->snapshots.begin()->first)));
    this->snapshots.erase(this->snapshots.begin());
  }
  return boost::outcome_v2::success();
}

Result<std::optional<std::string>> LogStore::ReadSnapshot(LogIndex index,
                                                          uint64_t offset,
                                                          size_t size) {
  const auto found = this->snapshots.find(index);
  if (found == this->snapshots.end()) return std::optional<std::string>();
  const StoredSnapshot& stored = found->second;
  if (offset > stored.meta.size) {
    return Error{ErrorCode::kInvalidArgument,
                 "offset " + std::to_string(offset) + " is beyond the " +
                     std::to_string(stored.meta.size) + " bytes of snapshot " +
                     std::to_string(index)};
  }
  BOOST_OUTCOME_TRY(
      data,
      this->files->Read(this->SnapshotPath(index), stored.data_offset + offset,
                        std::min(size, stored.meta.size - offset)));
  return std::optional<std::string>(std::move(data));
}

Result<void> LogStore::RemoveFile(const std::string& path) {
  BOOST_OUTCOME_TRY(this->files->Remove(path));
  return this->files->SyncDirectory(this->directory);
}

}  // namespace cornelhill
