#include "cornelhill/consensus/memory_log.h"

#include <cassert>
#include <utility>

namespace cornelhill {

MemoryLog::MemoryLog(LogIndex base_index, Term base_term)
    : base_index(base_index), base_term(base_term) {}

LogIndex MemoryLog::LastIndex() const {
  return this->base_index + this->entries.size();
}

Term MemoryLog::LastTerm() const {
  return this->entries.empty() ? this->base_term : this->entries.back().term;
}

bool MemoryLog::HasTermAt(LogIndex index) const {
  return index >= this->base_index && index <= this->LastIndex();
}

Term MemoryLog::TermAt(LogIndex index) const {
  assert(this->HasTermAt(index));
  return index == this->base_index ? this->base_term : this->At(index).term;
}

const LogEntry& MemoryLog::At(LogIndex index) const {
  assert(index > this->base_index && index <= this->LastIndex());
  return this->entries[index - this->base_index - 1];
}

void MemoryLog::Append(LogEntry entry) {
  assert(entry.index == this->LastIndex() + 1);
  assert(entry.term >= this->LastTerm());
  this->bytes += EntryBytes(entry);
  this->entries.push_back(std::move(entry));
}

void MemoryLog::Truncate(LogIndex from) {
  assert(from > this->base_index);
  if (from > this->LastIndex()) return;
  while (this->LastIndex() >= from) {
    this->bytes -= EntryBytes(this->entries.back());
    this->entries.pop_back();
  }
}

void MemoryLog::Discard(LogIndex index) {
  const Term term = this->TermAt(index);
  while (this->base_index < index) {
    this->bytes -= EntryBytes(this->entries.front());
    this->entries.pop_front();
    ++this->base_index;
  }
  this->base_term = term;
}

LogIndex MemoryLog::BaseFor(LogIndex last, size_t max_bytes,
                            size_t max_count) const {
  LogIndex base = last;
  size_t kept_bytes = 0;
  while (base > this->base_index && last - base < max_count) {
    kept_bytes += EntryBytes(this->At(base));
    if (kept_bytes > max_bytes) break;
    --base;
  }
  return base;
}

std::vector<LogEntry> MemoryLog::Slice(LogIndex from, size_t max_bytes,
                                       size_t max_count) const {
  std::vector<LogEntry> slice;
  size_t bytes = 0;
  for (LogIndex index = from; index <= this->LastIndex(); ++index) {
    const LogEntry& entry = this->At(index);
    bytes += EntryBytes(entry);
    if (!slice.empty() && (bytes > max_bytes || slice.size() >= max_count)) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

size_t EntryBytes(const LogEntry& entry) { return entry.data.size() + 32; }

}  // namespace cornelhill
