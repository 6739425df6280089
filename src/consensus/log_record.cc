#include "log_record.h"

#include "cornelhill/base/hash.h"
#include "cornelhill/consensus/consensus_codec.h"

namespace cornelhill {

namespace {

constexpr uint64_t kRecordMagic = 0x31524843;            // "CHR1"
constexpr uint64_t kSegmentMagic = 0x0a31474f4c4843ull;  // "CHLOG1\n"
constexpr size_t kChecksummedFrom = 16;

uint64_t Checksum(std::string_view body) { return Hash64(body, body.size()); }

}  // namespace

void AppendLittleEndian(std::string* out, uint64_t value, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i) {
    out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
}

uint64_t ReadLittleEndian(std::string_view in, size_t offset, size_t bytes) {
  uint64_t value = 0;
  for (size_t i = 0; i < bytes; ++i) {
    value |= uint64_t{static_cast<uint8_t>(in[offset + i])} << (8 * i);
  }
  return value;
}

void AppendRecord(std::string* out, const LogEntry& entry,
                  LogIndex synced_before) {
  std::string body;
  body.reserve(kRecordHeaderBytes - kChecksummedFrom + entry.data.size());
  AppendLittleEndian(&body, synced_before, 8);
  AppendLittleEndian(&body, entry.index, 8);
  AppendLittleEndian(&body, entry.term.Value(), 8);
  AppendLittleEndian(&body, static_cast<uint64_t>(entry.kind), 8);
  body += entry.data;
  AppendLittleEndian(out, kRecordMagic, 4);
  AppendLittleEndian(out, entry.data.size(), 4);
  AppendLittleEndian(out, Checksum(body), 8);
  *out += body;
}

std::optional<LogRecord> ReadRecord(std::string_view bytes, size_t offset) {
  if (offset > bytes.size() || bytes.size() - offset < kRecordHeaderBytes ||
      ReadLittleEndian(bytes, offset, 4) != kRecordMagic) {
    return std::nullopt;
  }
  const uint64_t length = ReadLittleEndian(bytes, offset + 4, 4);
  if (length > kMaxLogCommandBytes ||
      length > bytes.size() - offset - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view body =
      bytes.substr(offset + kChecksummedFrom,
                   kRecordHeaderBytes - kChecksummedFrom + length);
  if (ReadLittleEndian(bytes, offset + 8, 8) != Checksum(body)) {
    return std::nullopt;
  }
  LogRecord record;
  record.synced_before = ReadLittleEndian(body, 0, 8);
  record.entry.index = ReadLittleEndian(body, 8, 8);
  record.entry.term = Term(ReadLittleEndian(body, 16, 8));
  const uint64_t kind = ReadLittleEndian(body, 24, 8);
  if (kind >= kEntryKindCount) return std::nullopt;
  record.entry.kind = static_cast<EntryKind>(kind);
  record.entry.data = body.substr(kRecordHeaderBytes - kChecksummedFrom);
  return record;
}

bool WasSynced(std::string_view bytes, size_t offset, LogIndex index) {
  std::string magic;
  AppendLittleEndian(&magic, kRecordMagic, 4);
  for (size_t at = bytes.find(magic, offset); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    const std::optional<LogRecord> record = ReadRecord(bytes, at);
    if (record && record->synced_before >= index) return true;
  }
  return false;
}

std::string SegmentHeader(LogIndex first_index) {
  std::string body;
  AppendLittleEndian(&body, kSegmentMagic, 8);
  AppendLittleEndian(&body, first_index, 8);
  const uint64_t checksum = Checksum(body);
  AppendLittleEndian(&body, checksum, 8);
  return body;
}

std::optional<LogIndex> ReadSegmentHeader(std::string_view bytes) {
  if (bytes.size() < kSegmentHeaderBytes ||
      ReadLittleEndian(bytes, 0, 8) != kSegmentMagic ||
      ReadLittleEndian(bytes, 16, 8) != Checksum(bytes.substr(0, 16))) {
    return std::nullopt;
  }
  return ReadLittleEndian(bytes, 8, 8);
}

}  // namespace cornelhill
