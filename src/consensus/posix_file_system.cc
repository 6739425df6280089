#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <system_error>

#include "cornelhill/consensus/file_system.h"

namespace cornelhill {

namespace {

Error IoError(const std::string& action, const std::string& path, int number) {
  return Error{number == ENOENT ? ErrorCode::kNotFound : ErrorCode::kIo,
               "cannot " + action + " " + path + ": " +
                   std::generic_category().message(number)};
}

// Owns a file descriptor.
class Descriptor {
 public:
  explicit Descriptor(int number) : number(number) {}
  ~Descriptor() {
    if (this->number >= 0) close(this->number);
  }
  Descriptor(Descriptor&& other) noexcept
      : number(std::exchange(other.number, -1)) {}
  Descriptor& operator=(Descriptor&&) = delete;
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Get() const { return this->number; }

 private:
  int number;
};

Result<Descriptor> OpenPath(const std::string& path, int flags) {
  // No access for group and others: the log contains declarations.
  const int number = open(path.c_str(), flags | O_CLOEXEC, 0600);
  if (number < 0) return IoError("open", path, errno);
  return Descriptor(number);
}

Result<void> SyncDescriptor(const Descriptor& file, const std::string& path) {
  if (fsync(file.Get()) != 0) return IoError("sync", path, errno);
  return boost::outcome_v2::success();
}

class PosixAppendFile final : public AppendFile {
 public:
  PosixAppendFile(Descriptor file, std::string path)
      : file(std::move(file)), path(std::move(path)) {}

  Result<size_t> Append(std::string_view bytes) override {
    while (true) {
      const ssize_t written =
          write(this->file.Get(), bytes.data(), bytes.size());
      if (written >= 0) return static_cast<size_t>(written);
      if (errno != EINTR) return IoError("write", this->path, errno);
    }
  }

  Result<void> Sync() override {
    return SyncDescriptor(this->file, this->path);
  }

 private:
  Descriptor file;
  std::string path;
};

class PosixDirectoryLock final : public DirectoryLock {
 public:
  explicit PosixDirectoryLock(Descriptor file) : file(std::move(file)) {}

 private:
  Descriptor file;
};

// Stateless; all methods are thread-safe.
class PosixFiles final : public FileSystem {
 public:
  Result<void> CreateDirectory(const std::string& path) override {
    if (mkdir(path.c_str(), 0700) == 0) {
      return this->SyncDirectory(path + "/..");
    }
    if (errno != EEXIST) return IoError("create", path, errno);
    return boost::outcome_v2::success();
  }

  Result<std::unique_ptr<DirectoryLock>> Lock(
      const std::string& directory) override {
    BOOST_OUTCOME_TRY(file, OpenPath(directory, O_RDONLY | O_DIRECTORY));
    if (flock(file.Get(), LOCK_EX | LOCK_NB) != 0) {
      if (errno != EWOULDBLOCK) return IoError("lock", directory, errno);
      return Error{ErrorCode::kConflict, "data directory " + directory +
                                             " is in use by another process"};
    }
    return std::unique_ptr<DirectoryLock>(
        std::make_unique<PosixDirectoryLock>(std::move(file)));
  }

  Result<std::vector<std::string>> List(const std::string& directory) override {
    DIR* stream = opendir(directory.c_str());
    if (stream == nullptr) return IoError("list", directory, errno);
    std::vector<std::string> names;
    errno = 0;
    while (const dirent* entry = readdir(stream)) {
      const std::string name = entry->d_name;
      if (name != "." && name != "..") names.push_back(name);
    }
    const int number = errno;
    closedir(stream);
    if (number != 0) return IoError("list", directory, number);
    std::sort(names.begin(), names.end());
    return names;
  }

  Result<std::unique_ptr<AppendFile>> Create(const std::string& path) override {
    return OpenFile(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
  }

  Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) override {
    return OpenFile(path, O_WRONLY | O_APPEND);
  }

  Result<uint64_t> Size(const std::string& path) override {
    struct stat info = {};
    if (stat(path.c_str(), &info) != 0) return IoError("read", path, errno);
    return static_cast<uint64_t>(info.st_size);
  }

  Result<std::string> Read(const std::string& path, uint64_t offset,
                           size_t size) override {
    BOOST_OUTCOME_TRY(file, OpenPath(path, O_RDONLY));
    std::string bytes(size, '\0');
    size_t done = 0;
    while (done < size) {
      const ssize_t count = pread(file.Get(), bytes.data() + done, size - done,
                                  static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return IoError("read", path, errno);
      if (count == 0) break;
      done += static_cast<size_t>(count);
    }
    bytes.resize(done);
    return bytes;
  }

  Result<void> Truncate(const std::string& path, uint64_t size) override {
    BOOST_OUTCOME_TRY(file, OpenPath(path, O_WRONLY));
    if (ftruncate(file.Get(), static_cast<off_t>(size)) != 0) {
      return IoError("truncate", path, errno);
    }
    return SyncDescriptor(file, path);
  }

  Result<void> Rename(const std::string& from, const std::string& to) override {
    if (rename(from.c_str(), to.c_str()) != 0) {
      return IoError("rename", from, errno);
    }
    return boost::outcome_v2::success();
  }

  Result<void> Remove(const std::string& path) override {
    if (unlink(path.c_str()) != 0) return IoError("remove", path, errno);
    return boost::outcome_v2::success();
  }

  Result<void> SyncDirectory(const std::string& path) override {
    BOOST_OUTCOME_TRY(file, OpenPath(path, O_RDONLY | O_DIRECTORY));
    return SyncDescriptor(file, path);
  }

 private:
  static Result<std::unique_ptr<AppendFile>> OpenFile(const std::string& path,
                                                      int flags) {
    BOOST_OUTCOME_TRY(file, OpenPath(path, flags));
    return std::unique_ptr<AppendFile>(
        std::make_unique<PosixAppendFile>(std::move(file), path));
  }
};

}  // namespace

FileSystem& PosixFileSystem() {
  static PosixFiles files;
  return files;
}

}  // namespace cornelhill
