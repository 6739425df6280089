#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/consensus/file_system.h"

namespace cornelhill {

// An in-memory disk with a single directory. Power loss discards data that was
// not synced.
class MemoryFileSystem final : public FileSystem {
 public:
  explicit MemoryFileSystem(uint64_t seed) : random(seed) {}

  // The next `changes` changes succeed; all later ones fail.
  void CrashAfter(uint64_t changes) { this->changes_left = changes; }
  bool Crashed() const { return this->crashed; }

  // Simulates power loss: keeps a random part of the changes that were not
  // synced.
  void LosePower();
  // Simulates a process crash: the operating system keeps all written data.
  void RestartProcess() { this->ClearCrash(); }
  void LoseDisk();

  // Makes each write short with this probability.
  void SetShortWrites(double probability) { this->short_writes = probability; }
  std::string& Content(const std::string& path) {
    return this->names.at(path)->content;
  }

  Result<void> CreateDirectory(const std::string&) override;
  Result<std::unique_ptr<DirectoryLock>> Lock(const std::string&) override;
  Result<std::vector<std::string>> List(const std::string& directory) override;
  Result<std::unique_ptr<AppendFile>> Create(const std::string& path) override;
  Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) override;
  Result<uint64_t> Size(const std::string& path) override;
  Result<std::string> Read(const std::string& path, uint64_t offset,
                           size_t size) override;
  Result<void> Truncate(const std::string& path, uint64_t size) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;
  Result<void> SyncDirectory(const std::string& path) override;

 private:
  struct Inode {
    std::string content;
    size_t synced = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<Inode>>;
  class File;

  Result<void> RecordChange();
  Result<std::shared_ptr<Inode>> Find(const std::string& path) const;
  void UpdateNames(std::function<void(Names*)> change);
  void ClearCrash();

  Random random;
  Names names;
  Names synced_names;
  std::vector<std::function<void(Names*)>> unsynced_changes;
  uint64_t changes_left = UINT64_MAX;
  bool crashed = false;
  double short_writes = 0;
};

}  // namespace cornelhill
