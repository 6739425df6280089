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

// How long a copy of a packet may still arrive: callers and the network send no
// copy of a first packet after this time.
constexpr Millis kResendLifetime(10000);

// What became of a request that is no longer queued or running.
enum class Outcome : uint8_t {
  kAnswered,
  kRefused,
  // Another agent decides on the flow; this one never will.
  kDeclined,
};

// A finished request. `answer` is empty where it was too large to keep.
struct FinishedRequest {
  Outcome outcome = Outcome::kAnswered;
  Refusal refusal;
  std::vector<std::string> answer;
  bool answer_complete = false;
};

// Remembers finished requests for the resend lifetime, so that a resent request
// gets the same answer and never runs again. Stored answers are bounded by
// `max_answer_bytes`; the oldest are dropped first, the outcome stays. Not
// thread-safe.
class DeduplicationCache {
 public:
  explicit DeduplicationCache(size_t max_answer_bytes);

  // Records an outcome; an outcome already recorded for the key stays.
  void Add(Millis now, const RequestKey& key, FinishedRequest finished);

  // Returns null where nothing is known of the request. The pointer is valid
  // until the next call of a member that is not const.
  const FinishedRequest* Find(const RequestKey& key) const;

  // Forgets what is older than the resend lifetime.
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
