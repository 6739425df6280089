#include "checksummed_file.h"

#include "cornelhill/base/hash.h"
#include "log_record.h"

namespace cornelhill {

namespace {

constexpr uint64_t kMagic = 0x0a31454c494648ull;  // "HFILE1\n"
constexpr size_t kHeaderBytes = 24;
// The payload consists of a few integers and at most one membership.
constexpr uint64_t kMaxPayloadBytes = 64 << 10;

}  // namespace

Result<void> WriteAll(AppendFile* file, std::string_view bytes) {
  while (!bytes.empty()) {
    BOOST_OUTCOME_TRY(written, file->Append(bytes));
    if (written == 0) return Error{ErrorCode::kIo, "a write returned 0 bytes"};
    bytes.remove_prefix(written);
  }
  return boost::outcome_v2::success();
}

Result<void> ReplaceChecksummedFile(FileSystem* files,
                                    const std::string& directory,
                                    const std::string& path,
                                    std::string_view payload,
                                    std::string_view data) {
  const std::string temporary = path + std::string(kTemporarySuffix);
  BOOST_OUTCOME_TRY(file, files->Create(temporary));
  std::string header;
  AppendLittleEndian(&header, kMagic, 8);
  AppendLittleEndian(&header, payload.size(), 8);
  AppendLittleEndian(&header, Hash64(payload, payload.size()), 8);
  header += payload;
  BOOST_OUTCOME_TRY(WriteAll(file.get(), header));
  BOOST_OUTCOME_TRY(WriteAll(file.get(), data));
  BOOST_OUTCOME_TRY(file->Sync());
  BOOST_OUTCOME_TRY(files->Rename(temporary, path));
  return files->SyncDirectory(directory);
}

Result<ChecksummedFile> ReadChecksummedFile(FileSystem* files,
                                            const std::string& path) {
  BOOST_OUTCOME_TRY(header, files->Read(path, 0, kHeaderBytes));
  if (header.size() < kHeaderBytes ||
      ReadLittleEndian(header, 0, 8) != kMagic) {
    return CorruptFileError(path, 0, "the header is damaged");
  }
  const uint64_t size = ReadLittleEndian(header, 8, 8);
  if (size > kMaxPayloadBytes) {
    return CorruptFileError(path, 8, "the payload length exceeds the limit");
  }
  BOOST_OUTCOME_TRY(payload, files->Read(path, kHeaderBytes, size));
  if (payload.size() != size ||
      ReadLittleEndian(header, 16, 8) != Hash64(payload, size)) {
    return CorruptFileError(path, kHeaderBytes, "the checksum does not match");
  }
  return ChecksummedFile{std::move(payload), kHeaderBytes + size};
}

Error CorruptFileError(const std::string& path, uint64_t offset,
                       const std::string& what) {
  return Error{ErrorCode::kCorrupt,
               path + " at offset " + std::to_string(offset) + ": " + what};
}

}  // namespace cornelhill
