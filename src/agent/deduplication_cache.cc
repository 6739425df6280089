#include "cornelhill/agent/deduplication_cache.h"

#include <utility>

namespace cornelhill {

namespace {

size_t SizeOf(const std::vector<std::string>& answer) {
  size_t bytes = 0;
  for (const std::string& packet : answer) bytes += packet.size();
  return bytes;
}

}  // namespace

DeduplicationCache::DeduplicationCache(size_t max_answer_bytes)
    : max_answer_bytes(max_answer_bytes) {}

void DeduplicationCache::Add(Millis now, const RequestKey& key,
                             FinishedRequest request) {
  const size_t bytes = SizeOf(request.answer);
  const bool added = this->finished.emplace(key, std::move(request)).second;
  if (!added) return;
  this->expiries.push_back({now + kResendLifetime, key});
  if (bytes == 0) return;
  this->answer_bytes += bytes;
  this->answered.push_back(key);
  this->EvictOldAnswers();
}

const FinishedRequest* DeduplicationCache::Find(const RequestKey& key) const {
  const auto found = this->finished.find(key);
  return found == this->finished.end() ? nullptr : &found->second;
}

void DeduplicationCache::Expire(Millis now) {
  while (!this->expiries.empty() && this->expiries.front().at <= now) {
    const auto found = this->finished.find(this->expiries.front().key);
    this->answer_bytes -= SizeOf(found->second.answer);
    this->finished.erase(found);
    this->expiries.pop_front();
  }
  while (!this->answered.empty() &&
         !this->finished.contains(this->answered.front())) {
    this->answered.pop_front();
  }
}

void DeduplicationCache::EvictOldAnswers() {
  while (this->answer_bytes > this->max_answer_bytes &&
         !this->answered.empty()) {
    const auto oldest = this->finished.find(this->answered.front());
    this->answered.pop_front();
    if (oldest == this->finished.end()) continue;
    FinishedRequest& request = oldest->second;
    this->answer_bytes -= SizeOf(request.answer);
    request.answer.clear();
    request.answer.shrink_to_fit();
    request.answer_complete = false;
  }
}

}  // namespace cornelhill
