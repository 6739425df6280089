#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhill/consensus/log_entry.h"

namespace cornelhill {

// One record of a segment file: a header of fixed size, then the entry's data.
// The checksum covers everything but itself and the magic number.
struct LogRecord {
  LogEntry entry;
  // Last index that was synced before the record was written. A damaged record
  // at or below it was durable, so it is corrupt and not a torn write.
  LogIndex synced_before = 0;
};

constexpr size_t kRecordHeaderBytes = 48;
constexpr size_t kSegmentHeaderBytes = 24;

// All functions are pure and thread-safe. Numbers are little-endian.
void AppendLittleEndian(std::string* out, uint64_t value, size_t bytes);
uint64_t ReadLittleEndian(std::string_view in, size_t offset, size_t bytes);

void AppendRecord(std::string* out, const LogEntry& entry,
                  LogIndex synced_before);

// Reads the record at `offset`; none where there is no intact one.
std::optional<LogRecord> ReadRecord(std::string_view bytes, size_t offset);

// Returns true where `bytes` from `offset` on contain an intact record that was
// written after `index` had been synced.
bool WasSynced(std::string_view bytes, size_t offset, LogIndex index);

std::string SegmentHeader(LogIndex first_index);

// Returns the first index, or none where the header is damaged.
std::optional<LogIndex> ReadSegmentHeader(std::string_view bytes);

}  // namespace cornelhill
