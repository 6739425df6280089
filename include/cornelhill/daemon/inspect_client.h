#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/daemon/message_node.h"

namespace cornelhill {

// A process and the timeline address of its settings.
struct ProcessAddress {
  std::string name;
  Endpoint address;

  bool operator==(const ProcessAddress&) const = default;
};

// Asks processes at their timeline addresses on behalf of the operator's tool.
// Not thread-safe.
class InspectClient {
 public:
  // Returns whether the reply answers the question; others are ignored.
  using Accept =
      std::function<bool(const std::string& name, const std::string& bytes)>;

  // Names are unique.
  explicit InspectClient(std::vector<ProcessAddress> processes);

  Result<void> Start();

  // Sends each process its request, by name, and waits until `accept` has taken
  // one reply of each or `timeout` has passed. Returns the names of those that
  // did not answer.
  std::vector<std::string> Ask(
      const std::map<std::string, std::string>& requests, Millis timeout,
      const Accept& accept);

 private:
  struct Reply {
    std::string name;
    std::string bytes;
  };

  std::deque<Reply> WaitForReplies(Millis until);

  std::vector<ProcessAddress> processes;
  std::mutex mutex;
  std::condition_variable arrived;
  std::deque<Reply> replies;
  MessageNode node;
};

}  // namespace cornelhill
