#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/request_key.h"
#include "cornelhill/wire/data_messages.h"

namespace cornelhill {

// Maximum time until a copy of a packet arrives: neither callers nor the
// network send a copy of a first packet later than this.
constexpr Millis kResendLifetime(10000);

// The outcome of a request that is no longer queued or running.
enum class Outcome : uint8_t {
  kAnswered,
  kRefused,
  // Another agent decides on the flow; this one must not accept it.
  kDeclined,
};

// A finished request. `answer` is empty if it was too large to store.
struct FinishedRequest {
  Outcome outcome = Outcome::kAnswered;
  Refusal refusal;
  std::vector<std::string> answer;
  bool answer_complete = false;
};

// Stores finished requests for the resend lifetime, so that a resent request
// gets the same answer and does not run again. Stored answers are limited to
// `max_answer_bytes`; the oldest answers are evicted first, while their
// outcomes stay. Not thread-safe.
class DeduplicationCache {
 public:
  explicit DeduplicationCache(size_t max_answer_bytes);

  // Records an outcome. Does nothing if the key already has one.
  void Add(Millis now, const RequestKey& key, FinishedRequest finished);

  // Returns null if the request is not recorded. The next call of a non-const
  // member invalidates the pointer.
  const FinishedRequest* Find(const RequestKey& key) const;

  // Removes entries older than the resend lifetime.
  void Expire(Millis now);

  size_t size() const { return this->finished.size(); }

 private:
  struct Expiry {
    Millis at;
    RequestKey key;
  };

  void EvictOldAnswers();

  size_t max_answer_bytes;
  size_t answer_bytes = 0;
  std::unordered_map<RequestKey, FinishedRequest> finished;
  std::deque<Expiry> expiries;
  // Keys with a stored answer, oldest first.
  std::deque<RequestKey> answered;
};

}  // namespace cornelhill
