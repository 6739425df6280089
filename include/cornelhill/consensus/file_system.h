#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhill/base/result.h"

namespace cornelhill {

// A file opened for appending. The destructor closes it without syncing. Not
// thread-safe.
class AppendFile {
 public:
  virtual ~AppendFile() = default;

  // Returns the number of bytes written, which may be less than `bytes.size()`.
  virtual Result<size_t> Append(std::string_view bytes) = 0;

  // Makes all written data durable. After a failure the content of the file is
  // undefined.
  virtual Result<void> Sync() = 0;
};

// Exclusive lock on a directory against other processes, held until
// destruction.
class DirectoryLock {
 public:
  virtual ~DirectoryLock() = default;
};

// File operations that `LogStore` uses; an interface, so that tests can inject
// faults. Errors have the code `kIo`, or `kNotFound` for a missing file, and
// name the path. Each implementation documents its own thread safety.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  // Also succeeds if the directory already exists.
  virtual Result<void> CreateDirectory(const std::string& path) = 0;
  // Fails with `kConflict` if another process holds the lock.
  virtual Result<std::unique_ptr<DirectoryLock>> Lock(
      const std::string& directory) = 0;
  // Returns the names of the files in a directory, sorted.
  virtual Result<std::vector<std::string>> List(
      const std::string& directory) = 0;
  // Creates an empty file or truncates an existing one to zero length.
  virtual Result<std::unique_ptr<AppendFile>> Create(
      const std::string& path) = 0;
  virtual Result<std::unique_ptr<AppendFile>> OpenAppend(
      const std::string& path) = 0;
  virtual Result<uint64_t> Size(const std::string& path) = 0;
  // Returns fewer than `size` bytes if the end of the file is reached.
  virtual Result<std::string> Read(const std::string& path, uint64_t offset,
                                   size_t size) = 0;
  // Truncates a file to `size` bytes and makes the new size durable.
  virtual Result<void> Truncate(const std::string& path, uint64_t size) = 0;
  // `Rename` and `Remove` are durable only after `SyncDirectory`.
  virtual Result<void> Rename(const std::string& from,
                              const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  virtual Result<void> SyncDirectory(const std::string& path) = 0;
};

// Returns the POSIX file system of the host. Thread-safe.
FileSystem& PosixFileSystem();

}  // namespace cornelhill
