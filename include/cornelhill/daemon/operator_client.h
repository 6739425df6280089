#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/daemon/message_node.h"

namespace cornelhill {

// Asks the control instances on behalf of the operator's tool. Not thread-safe.
class OperatorClient {
 public:
  explicit OperatorClient(std::vector<Endpoint> control);

  Result<void> Start();

  // Sends the request to all control instances, again and again, until one of
  // them answers for the group or `timeout` has passed. The request id makes
  // that safe. The error names the addresses and what each last said.
  Result<OperatorResponse> Ask(const OperatorRequest& request, Millis timeout);

 private:
  struct Reply {
    std::string member;
    OperatorResponse response;
  };

  void OnMessage(const std::string& member, const std::string& bytes);
  std::deque<Reply> WaitForReplies(Millis until);

  std::vector<Endpoint> control;
  std::mutex mutex;
  std::condition_variable arrived;
  std::deque<Reply> replies;
  MessageNode node;
};

// Returns a request id that no other run of the tool has used.
std::string NewRequestId();

}  // namespace cornelhill
