#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cornelhill/consensus/log_entry.h"

namespace cornelhill {

// The entries of the log that a replica holds in memory: those after a base
// entry of which only index and term are known. Not thread-safe.
class MemoryLog {
 public:
  // Starts empty after the base entry; index 0 is the start of the log.
  MemoryLog(LogIndex base_index, Term base_term);

  LogIndex BaseIndex() const { return this->base_index; }
  LogIndex LastIndex() const;
  Term LastTerm() const;

  // Returns true where the term of `index` is known.
  bool HasTermAt(LogIndex index) const;

  // Requires `HasTermAt(index)`.
  Term TermAt(LogIndex index) const;

  // Requires base index < index <= last index.
  const LogEntry& At(LogIndex index) const;

  // Requires the index after the last one.
  void Append(LogEntry entry);

  // Removes the entries from `from` on. Requires from > base index.
  void Truncate(LogIndex from);

  // Makes `index` the base entry. Requires `HasTermAt(index)`.
  void Discard(LogIndex index);

  // Returns entries from `from` on, at least one where there is one, up to
  // `max_bytes` of data and `max_count` entries.
  std::vector<LogEntry> Slice(LogIndex from, size_t max_bytes,
                              size_t max_count) const;

 private:
  LogIndex base_index;
  Term base_term;
  std::deque<LogEntry> entries;
};

// Bytes that an entry counts for in limits: its data and a fixed overhead.
size_t EntryBytes(const LogEntry& entry);

}  // namespace cornelhill
