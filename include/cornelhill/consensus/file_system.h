#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/result.h"

namespace cornelhill {

// A file that is open for appending. Closed by its destructor, which does not
// sync. Not thread-safe.
class AppendFile {
 public:
  virtual ~AppendFile() = default;

  // Returns how many bytes were written, which may be fewer than asked for.
  virtual Result<size_t> Append(std::string_view bytes) = 0;

  // Makes all content durable. After a failure the content is unknown.
  virtual Result<void> Sync() = 0;
};

// Keeps other processes out of a directory while it exists.
class DirectoryLock {
 public:
  virtual ~DirectoryLock() = default;
};

// The few file operations that `LogStore` needs, so that tests can inject
// faults. Errors are `kIo`, or `kNotFound` for a missing file; they name the
// path. An implementation states its own thread safety.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  // Succeeds where the directory exists.
  virtual Result<void> CreateDirectory(const std::string& path) = 0;
  // Fails with `kConflict` where another process holds the lock.
  virtual Result<std::unique_ptr<DirectoryLock>> Lock(
      const std::string& directory) = 0;
  // Returns the names of the files in a directory, sorted.
  virtual Result<std::vector<std::string>> List(
      const std::string& directory) = 0;
  // Creates an empty file, or empties an existing one.
  virtual Result<std::unique_ptr<AppendFile>> Create(
      const std::string& path) = 0;
  virtual Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) = 0;
  virtual Result<uint64_t> Size(const std::string& path) = 0;
  // Returns fewer bytes at the end of the file.
  virtual Result<std::string> Read(const std::string& path, uint64_t offset,
                                   size_t size) = 0;
  // Cuts a file to `size` bytes and makes that durable.
  virtual Result<void> Truncate(const std::string& path, uint64_t size) = 0;
  // The two below are durable after `SyncDirectory`.
  virtual Result<void> Rename(const std::string& from,
                              const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  virtual Result<void> SyncDirectory(const std::string& path) = 0;
};

// Returns the file system of this machine. Thread-safe.
FileSystem& PosixFileSystem();

}  // namespace cornelhill
