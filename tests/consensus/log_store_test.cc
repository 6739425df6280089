#include "cornelhill/consensus/log_store.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>

#include "cornelhill/consensus/consensus_codec.h"
#include "memory_file_system.h"

namespace cornelhill {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr MemberId kSelf(3);
constexpr std::string_view kFirstSegment = "data/log-00000000000000000001";

LogEntry Entry(LogIndex index, uint64_t term) {
  return {index, Term(term), EntryKind::kCommand,
          "command " + std::to_string(index) + "." + std::to_string(term)};
}

PersistRequest Request(std::vector<LogEntry> entries) {
  PersistRequest request;
  request.entries = std::move(entries);
  return request;
}

Result<std::unique_ptr<LogStore>> Open(FileSystem* files,
                                       uint64_t segment_bytes = 1 << 20) {
  return LogStore::Open({segment_bytes}, files, "data", kSelf);
}

// Returns a disk with the entries 1 to 4, each synced separately.
MemoryFileSystem SampleDisk() {
  MemoryFileSystem files(kSeed);
  cr_assert(LogStore::Create(&files, "data", kSelf, {}).has_value());
  auto store = std::move(Open(&files).value());
  for (LogIndex index = 1; index <= 4; ++index) {
    cr_assert(store->Persist(Request({Entry(index, 1)})).has_value());
  }
  return files;
}

// Guards against a log that cannot be read back from a real file system, and
// against two processes that use one data directory.
Test(log_store, round_trips_through_a_real_directory) {
  std::string name = std::filesystem::temp_directory_path() / "log_storeXXXXXX";
  cr_assert(mkdtemp(name.data()) != nullptr);
  const std::string directory = name + "/data";
  FileSystem* files = &PosixFileSystem();
  const Membership first{{{kSelf, true, 1, "127.0.0.1:1"}}, kSelf};
  cr_assert(LogStore::Create(files, directory, kSelf, first).has_value());
  cr_assert(LogStore::Create(files, directory, kSelf, first).error().code ==
            ErrorCode::kConflict);
  {
    auto store = std::move(LogStore::Open({100}, files, directory, {}).value());
    cr_assert(LogStore::Open({100}, files, directory, {}).error().code ==
              ErrorCode::kConflict);
    PersistRequest request = Request({Entry(2, 1), Entry(3, 1)});
    request.hard_state = HardState{Term(2), MemberId(7)};
    cr_assert(store->Persist(request).has_value());
    cr_assert(store->Persist(Request({Entry(4, 1), Entry(5, 1)})).has_value());
    request = Request({Entry(4, 2)});
    request.truncate_from = 4;
    cr_assert(store->Persist(request).has_value());
    const auto meta = store->SaveSnapshot({3, Term(1), first}, "registers");
    cr_assert(meta.has_value());
    request = {};
    request.discard_through = 3;
    cr_assert(store->Persist(request).has_value());
    cr_assert(store->ReadSnapshot(3, 2, 4).value() == "gist");
  }
  auto store =
      std::move(LogStore::Open({100}, files, directory, kSelf).value());
  const StoredState state = store->TakeState();
  cr_assert(state.self == kSelf);
  cr_assert(state.hard_state == (HardState{Term(2), MemberId(7)}));
  cr_assert(state.snapshot.index == 3 && state.snapshot.membership == first);
  cr_assert(state.entries.back() == Entry(4, 2));
  cr_assert(store->LoadSnapshot().value()->data == "registers");
  std::filesystem::remove_all(name);
}

// Guards against a member that starts under its old ID, and so could vote twice
// in a term, on an empty disk or on the disk of another member.
Test(log_store, refuses_a_directory_without_its_member_id) {
  MemoryFileSystem files = SampleDisk();
  cr_assert(LogStore::Open({}, &files, "data", MemberId(4)).error().code ==
            ErrorCode::kConflict);
  files.LoseDisk();
  const auto lost = Open(&files);
  cr_assert(lost.error().code == ErrorCode::kNotFound);
  cr_assert(lost.error().message.find("expected member 3") !=
            std::string::npos);
}

// Guards against a directory that no later start accepts: a process was killed
// or lost power, or a write failed, at any operation of its first
// initialization.
void CheckInterruptedInitialization(const std::optional<Membership>& first,
                                    bool power) {
  constexpr uint64_t kMoreThanAllOperations = 60;
  bool completed = false;
  for (uint64_t changes = 0; changes < kMoreThanAllOperations; ++changes) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      MemoryFileSystem files(seed);
      files.CrashAfter(changes);
      const bool created =
          LogStore::Create(&files, "data", kSelf, first).has_value();
      completed = completed || created;
      if (power) {
        files.LosePower();
      } else {
        files.RestartProcess();
      }
      auto opened = Open(&files);
      if (created) cr_assert(opened.has_value());
      if (!opened.has_value()) {
        cr_assert(opened.error().code == ErrorCode::kNotFound, "%zu: %s",
                  static_cast<size_t>(changes), opened.error().message.c_str());
        const Result<void> again =
            LogStore::Create(&files, "data", kSelf, first);
        cr_assert(again.has_value(), "interrupted after %zu changes: %s",
                  static_cast<size_t>(changes),
                  again.has_error() ? again.error().message.c_str() : "");
        opened = Open(&files);
        cr_assert(opened.has_value());
      }
      const StoredState state = opened.value()->TakeState();
      cr_assert(state.self == kSelf);
      cr_assert_eq(state.entries.size(), first.has_value() ? 1U : 0U);
    }
  }
  cr_assert(completed, "the loop is too short");
}

Test(log_store, an_interrupted_initialization_is_repeated) {
  const Membership first{{{kSelf, true, 1, "127.0.0.1:1"}}, kSelf};
  for (const bool power : {false, true}) {
    CheckInterruptedInitialization(first, power);
    CheckInterruptedInitialization(std::nullopt, power);
  }
}

// Guards against a failed start, or a lost synced entry, after a write that was
// torn at any byte.
Test(log_store, truncates_a_torn_write_at_any_byte) {
  const std::string full = SampleDisk().Content(std::string(kFirstSegment));
  MemoryFileSystem files = SampleDisk();
  cr_assert(Open(&files).value()->Persist(Request({Entry(5, 1)})).has_value());
  const std::string longer = files.Content(std::string(kFirstSegment));
  for (size_t size = full.size(); size < longer.size(); ++size) {
    files.Content(std::string(kFirstSegment)) = longer.substr(0, size);
    const auto store = Open(&files);
    cr_assert(store.has_value());
    cr_assert(store.value()->TruncatedBytes() == size - full.size());
    cr_assert(store.value()->TakeState().entries.back() == Entry(4, 1));
  }
}

// Guards against silently dropping synced entries: a bit flip at any byte of a
// record before the last synced batch, or in another file, must be reported as
// corruption in one line with file and offset.
Test(log_store, reports_a_bit_flip_before_the_last_record) {
  MemoryFileSystem files = SampleDisk();
  std::vector<std::string> paths = {std::string(kFirstSegment), "data/state",
                                    "data/identity"};
  for (const std::string& path : paths) {
    const std::string good = files.Content(path);
    // All records have the same size. The last one is excluded, because damage
    // to it is indistinguishable from a torn write.
    const size_t end = path == kFirstSegment
                           ? good.size() - (good.size() - 24) / 4
                           : good.size();
    for (size_t offset = 0; offset < end; ++offset) {
      files.Content(path)[offset] ^= static_cast<char>(1 << offset % 8);
      const auto store = Open(&files);
      cr_assert(store.has_error(), "%s: byte %zu", path.c_str(), offset);
      cr_assert(store.error().code == ErrorCode::kCorrupt);
      cr_assert(store.error().message.starts_with(path + " at offset "));
      cr_assert(store.error().message.find('\n') == std::string::npos);
      files.Content(path) = good;
    }
  }
  cr_assert(Open(&files).has_value());
  {
    auto store = std::move(Open(&files).value());
    cr_assert(store->SaveSnapshot({2, Term(1), {}}, "registers").has_value());
  }
  std::string& snapshot = files.Content("data/snapshot-00000000000000000002");
  for (char& byte : snapshot) {
    byte ^= 4;
    const auto store = Open(&files);
    cr_assert(store.has_error() && store.error().code == ErrorCode::kCorrupt);
    byte ^= 4;
  }
  cr_assert(Open(&files).has_value());
}

// Guards against an entry, term or vote that was reported durable and is lost
// or changed, and against a directory that cannot be opened, after a crash at
// any write, sync, rename or removal, with short writes and torn pages.
Test(log_store, keeps_what_was_durable_after_a_crash_at_any_change) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    for (uint64_t changes = 0;; ++changes) {
      Random random(seed);
      MemoryFileSystem files(seed * 1000 + changes);
      cr_assert(LogStore::Create(&files, "data", kSelf, {}).has_value());
      files.SetShortWrites(0.3);
      files.CrashAfter(changes);
      auto opened = Open(&files, 150);
      std::unique_ptr<LogStore> store;
      if (opened.has_value()) store = std::move(opened.value());
      std::vector<LogEntry> durable;
      std::vector<LogEntry> attempted;
      HardState state;
      LogIndex snapshot = 0;
      for (uint64_t step = 1; store != nullptr && step <= 12; ++step) {
        PersistRequest request;
        LogIndex last = durable.size();
        const HardState next{Term(step), MemberId(step)};
        if (random.Chance(0.3)) request.hard_state = next;
        if (last > snapshot + 1 && random.Chance(0.2)) {
          request.truncate_from = last;
          --last;
        }
        for (uint64_t i = random.Below(3); i > 0; --i) {
          request.entries.push_back(Entry(++last, step));
        }
        attempted.assign(
            durable.begin(),
            durable.begin() +
                static_cast<int64_t>(request.truncate_from == 0
                                         ? durable.size()
                                         : request.truncate_from - 1));
        if (store->Persist(request).has_error()) {
          durable = attempted;
          break;
        }
        durable = attempted;
        durable.insert(durable.end(), request.entries.begin(),
                       request.entries.end());
        if (request.hard_state) state = next;
        if (!durable.empty() && random.Chance(0.2)) {
          const SnapshotMeta meta{durable.size(), durable.back().term, {}};
          if (store->SaveSnapshot(meta, "registers").has_error()) break;
          snapshot = meta.index;
          request = {};
          request.discard_through = snapshot;
          if (store->Persist(request).has_error()) break;
        }
      }
      const bool crashed = files.Crashed();
      store.reset();
      files.LosePower();
      const auto reopened = Open(&files, 150);
      cr_assert(reopened.has_value(), "seed %lu change %lu: %s",
                static_cast<unsigned long>(seed),
                static_cast<unsigned long>(changes),
                reopened.has_error() ? reopened.error().message.c_str() : "");
      const StoredState found = reopened.value()->TakeState();
      cr_assert(found.hard_state.term >= state.term);
      cr_assert(found.snapshot.index >= snapshot);
      for (const LogEntry& entry : durable) {
        if (entry.index <= found.snapshot.index) continue;
        const LogIndex first =
            found.entries.empty() ? 0 : found.entries.front().index;
        cr_assert(!found.entries.empty() && entry.index >= first &&
                      entry.index - first < found.entries.size(),
                  "seed %lu change %lu: entry %lu was lost",
                  static_cast<unsigned long>(seed),
                  static_cast<unsigned long>(changes),
                  static_cast<unsigned long>(entry.index));
        cr_assert(found.entries[entry.index - first] == entry);
      }
      if (!crashed) break;
    }
  }
}

// Guards against further writes after a failed one, when the content of the
// file is undefined.
Test(log_store, refuses_writes_after_a_failed_one) {
  MemoryFileSystem files = SampleDisk();
  auto store = std::move(Open(&files).value());
  files.CrashAfter(1);
  cr_assert(store->Persist(Request({Entry(5, 1)})).has_error());
  files.RestartProcess();
  cr_assert(store->Persist(Request({Entry(5, 1)})).has_error());
  cr_assert(store->SaveSnapshot({4, Term(1), {}}, "").has_error());
}

}  // namespace
}  // namespace cornelhill
