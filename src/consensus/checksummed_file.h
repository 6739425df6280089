#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/consensus/file_system.h"

namespace cornelhill {

// A file with a checksummed payload, followed by data that the payload
// describes. It is replaced as a whole: after a crash either the old or the new
// one is there.
struct ChecksummedFile {
  std::string payload;
  uint64_t data_offset = 0;
};

// Suffix of a file that is being written; a crash can leave one behind.
constexpr std::string_view kTemporarySuffix = ".tmp";

// Writes all bytes, through short writes.
Result<void> WriteAll(AppendFile* file, std::string_view bytes);

Result<void> ReplaceChecksummedFile(FileSystem* files,
                                    const std::string& directory,
                                    const std::string& path,
                                    std::string_view payload,
                                    std::string_view data);

// Fails with `kNotFound`, or with `kCorrupt` naming file and offset.
Result<ChecksummedFile> ReadChecksummedFile(FileSystem* files,
                                            const std::string& path);

// One line that names the file and the offset of what is wrong in it.
Error CorruptFileError(const std::string& path, uint64_t offset,
                       const std::string& what);

}  // namespace cornelhill
