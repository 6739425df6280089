#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhill/consensus/log_entry.h"

namespace cornelhill {

// A record of a segment file: a header of fixed size followed by the data of
// the entry. The checksum covers everything except itself and the magic number.
struct LogRecord {
  LogEntry entry;
  // Last index that was synced before the record was written. A damaged record
  // up to this index was durable, so it is corrupt and not a torn write.
  LogIndex synced_before = 0;
};

constexpr size_t kRecordHeaderBytes = 48;
constexpr size_t kSegmentHeaderBytes = 24;

// All functions are pure and thread-safe. Integers are little-endian.
void AppendLittleEndian(std::string* out, uint64_t value, size_t bytes);
uint64_t ReadLittleEndian(std::string_view in, size_t offset, size_t bytes);

void AppendRecord(std::string* out, const LogEntry& entry,
                  LogIndex synced_before);

// Reads the record at `offset`; nullopt if there is no valid record.
std::optional<LogRecord> ReadRecord(std::string_view bytes, size_t offset);

// Returns true if `bytes` from `offset` on contain a valid record that was
// written after `index` had been synced.
bool WasSynced(std::string_view bytes, size_t offset, LogIndex index);

std::string SegmentHeader(LogIndex first_index);

// Returns the first index, or nullopt if the header is invalid.
std::optional<LogIndex> ReadSegmentHeader(std::string_view bytes);

}  // namespace cornelhill
