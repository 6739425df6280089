#include "memory_file_system.h"

#include <algorithm>
#include <utility>

namespace cornelhill {

class MemoryFileSystem::File final : public AppendFile {
 public:
  File(MemoryFileSystem* files, std::shared_ptr<Inode> inode)
      : files(files), inode(std::move(inode)) {}

  Result<size_t> Append(std::string_view bytes) override {
    const bool fails = this->files->RecordChange().has_error();
    if (fails || this->files->random.Chance(this->files->short_writes)) {
      bytes = bytes.substr(0, 1 + this->files->random.Below(bytes.size()));
    }
    this->inode->content += bytes;
    if (fails) return Error{ErrorCode::kIo, "crashed"};
    return bytes.size();
  }

  Result<void> Sync() override {
    BOOST_OUTCOME_TRY(this->files->RecordChange());
    this->inode->synced = this->inode->content.size();
    return boost::outcome_v2::success();
  }

 private:
  MemoryFileSystem* files;
  std::shared_ptr<Inode> inode;
};

Result<void> MemoryFileSystem::RecordChange() {
  if (this->changes_left == 0) this->crashed = true;
  if (this->crashed) return Error{ErrorCode::kIo, "crashed"};
  --this->changes_left;
  return boost::outcome_v2::success();
}

void MemoryFileSystem::ClearCrash() {
  this->crashed = false;
  this->changes_left = UINT64_MAX;
}

void MemoryFileSystem::LosePower() {
  const uint64_t kept = this->random.Below(this->unsynced_changes.size() + 1);
  for (uint64_t i = 0; i < kept; ++i) {
    this->unsynced_changes[i](&this->synced_names);
  }
  this->unsynced_changes.clear();
  this->names = this->synced_names;
  for (auto& [path, inode] : this->names) {
    const size_t unsynced = inode->content.size() - inode->synced;
    const size_t size = inode->synced + this->random.Below(unsynced + 1);
    inode->content.resize(size);
    // Pages may reach the disk in any order.
    if (size > inode->synced && this->random.Chance(0.5)) {
      inode->content[inode->synced + this->random.Below(size - inode->synced)] =
          static_cast<char>(this->random.Next());
    }
    inode->synced = size;
  }
  this->ClearCrash();
}

void MemoryFileSystem::LoseDisk() {
  this->names.clear();
  this->synced_names.clear();
  this->unsynced_changes.clear();
  this->ClearCrash();
}

void MemoryFileSystem::UpdateNames(std::function<void(Names*)> change) {
  change(&this->names);
  this->unsynced_changes.push_back(std::move(change));
}

Result<std::shared_ptr<MemoryFileSystem::Inode>> MemoryFileSystem::Find(
    const std::string& path) const {
  const auto found = this->names.find(path);
  if (found == this->names.end()) {
    return Error{ErrorCode::kNotFound, path + " does not exist"};
  }
  return found->second;
}

Result<void> MemoryFileSystem::CreateDirectory(const std::string& /*path*/) {
  return boost::outcome_v2::success();
}

Result<std::unique_ptr<DirectoryLock>> MemoryFileSystem::Lock(
    const std::string& /*directory*/) {
  return std::make_unique<DirectoryLock>();
}

Result<std::vector<std::string>> MemoryFileSystem::List(
    const std::string& directory) {
  std::vector<std::string> listed;
  for (const auto& [path, inode] : this->names) {
    listed.push_back(path.substr(directory.size() + 1));
  }
  return listed;
}

Result<std::unique_ptr<AppendFile>> MemoryFileSystem::Create(
    const std::string& path) {
  BOOST_OUTCOME_TRY(this->RecordChange());
  const auto inode = std::make_shared<Inode>();
  this->UpdateNames([path, inode](Names* names) { (*names)[path] = inode; });
  return std::make_unique<File>(this, inode);
}

Result<std::unique_ptr<AppendFile>> MemoryFileSystem::OpenAppend(
    const std::string& path) {
  BOOST_OUTCOME_TRY(inode, this->Find(path));
  return std::make_unique<File>(this, inode);
}

Result<uint64_t> MemoryFileSystem::Size(const std::string& path) {
  BOOST_OUTCOME_TRY(inode, this->Find(path));
  return uint64_t{inode->content.size()};
}

Result<std::string> MemoryFileSystem::Read(const std::string& path,
                                           uint64_t offset, size_t size) {
  BOOST_OUTCOME_TRY(inode, this->Find(path));
  if (offset >= inode->content.size()) return std::string();
  return inode->content.substr(offset, size);
}

Result<void> MemoryFileSystem::Truncate(const std::string& path,
                                        uint64_t size) {
  BOOST_OUTCOME_TRY(this->RecordChange());
  BOOST_OUTCOME_TRY(inode, this->Find(path));
  inode->content.resize(size);
  inode->synced = size;
  return boost::outcome_v2::success();
}

Result<void> MemoryFileSystem::Rename(const std::string& from,
                                      const std::string& to) {
  BOOST_OUTCOME_TRY(this->RecordChange());
  BOOST_OUTCOME_TRY(this->Find(from));
  this->UpdateNames([from, to](Names* names) {
    (*names)[to] = names->at(from);
    names->erase(from);
  });
  return boost::outcome_v2::success();
}

Result<void> MemoryFileSystem::Remove(const std::string& path) {
  BOOST_OUTCOME_TRY(this->RecordChange());
  this->UpdateNames([path](Names* names) { names->erase(path); });
  return boost::outcome_v2::success();
}

Result<void> MemoryFileSystem::SyncDirectory(const std::string& /*path*/) {
  BOOST_OUTCOME_TRY(this->RecordChange());
  this->synced_names = this->names;
  this->unsynced_changes.clear();
  return boost::outcome_v2::success();
}

}  // namespace cornelhill
