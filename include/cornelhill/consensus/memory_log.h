#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "cornelhill/consensus/log_entry.h"

namespace cornelhill {

// The in-memory part of a replica's log: the entries after a base entry, of
// which only index and term are kept. Not thread-safe.
class MemoryLog {
 public:
  // Creates an empty log after the base entry; base index 0 is the start of the
  // log.
  MemoryLog(LogIndex base_index, Term base_term);

  LogIndex BaseIndex() const { return this->base_index; }
  LogIndex LastIndex() const;
  // Sum of `EntryBytes` of the entries.
  size_t Bytes() const { return this->bytes; }
  Term LastTerm() const;

  // Returns true if the term of the entry at `index` is available.
  bool HasTermAt(LogIndex index) const;

  // Requires `HasTermAt(index)`.
  Term TermAt(LogIndex index) const;

  // Requires base index < index <= last index.
  const LogEntry& At(LogIndex index) const;

  // Requires entry.index == last index + 1.
  void Append(LogEntry entry);

  // Removes the entries from `from` on. Requires from > base index.
  void Truncate(LogIndex from);

  // Removes the entries up to `index`, which becomes the base entry. Requires
  // `HasTermAt(index)`.
  void Discard(LogIndex index);

  // Returns the lowest index such that the entries after it, up to `last`, are
  // at most `max_count` and have at most `max_bytes`. Requires
  // `HasTermAt(last)`.
  LogIndex BaseFor(LogIndex last, size_t max_bytes, size_t max_count) const;

  // Returns entries from `from` on, up to `max_bytes` and `max_count`, but at
  // least one if there is one.
  std::vector<LogEntry> Slice(LogIndex from, size_t max_bytes,
                              size_t max_count) const;

 private:
  LogIndex base_index;
  Term base_term;
  std::deque<LogEntry> entries;
  size_t bytes = 0;
};

// Size of an entry for limits: its data plus a fixed overhead.
size_t EntryBytes(const LogEntry& entry);

}  // namespace cornelhill
