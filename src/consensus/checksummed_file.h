#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/consensus/file_system.h"

namespace cornelhill {

// A file with a checksummed payload, followed by data that the payload
// describes. It is replaced atomically: after a crash either the old or the new
// version exists.
struct ChecksummedFile {
  std::string payload;
  uint64_t data_offset = 0;
};

// Suffix of temporary files; a crash can leave one behind.
constexpr std::string_view kTemporarySuffix = ".tmp";

// Writes all bytes, continuing after short writes.
Result<void> WriteAll(AppendFile* file, std::string_view bytes);

Result<void> ReplaceChecksummedFile(FileSystem* files,
                                    const std::string& directory,
                                    const std::string& path,
                                    std::string_view payload,
                                    std::string_view data);

// Fails with `kNotFound`, or with `kCorrupt` and a message that names file and
// offset.
Result<ChecksummedFile> ReadChecksummedFile(FileSystem* files,
                                            const std::string& path);

// Returns a `kCorrupt` error with a one-line message that names the file and
// the offset of the corruption.
Error CorruptFileError(const std::string& path, uint64_t offset,
                       const std::string& what);

}  // namespace cornelhill
