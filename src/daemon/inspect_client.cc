#include "cornelhill/daemon/inspect_client.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "cornelhill/daemon/operator_client.h"

namespace cornelhill {

InspectClient::InspectClient(std::vector<ProcessAddress> processes)
    : processes(std::move(processes)),
      node(NewRequestId(),
           {nullptr, [this](const std::string& name, std::string bytes) {
              const std::lock_guard lock(this->mutex);
              this->replies.push_back({name, std::move(bytes)});
              this->arrived.notify_one();
            }}) {}

Result<void> InspectClient::Start() {
  for (const ProcessAddress& process : this->processes) {
    BOOST_OUTCOME_TRY(this->node.Connect(process.name, process.address));
  }
  this->node.Start();
  return boost::outcome_v2::success();
}

std::deque<InspectClient::Reply> InspectClient::WaitForReplies(Millis until) {
  std::unique_lock lock(this->mutex);
  const Millis left = until - MonotonicNow();
  this->arrived.wait_for(
      lock, std::chrono::milliseconds(std::max<int64_t>(left.Count(), 0)),
      [this] { return !this->replies.empty(); });
  return std::exchange(this->replies, {});
}

std::vector<std::string> InspectClient::Ask(
    const std::map<std::string, std::string>& requests, Millis timeout,
    const Accept& accept) {
  const Millis end = MonotonicNow() + timeout;
  std::set<std::string> waiting;
  for (const auto& [name, bytes] : requests) {
    this->node.Send(name, bytes);
    waiting.insert(name);
  }
  while (!waiting.empty() && MonotonicNow() < end) {
    for (const Reply& reply : this->WaitForReplies(end)) {
      if (waiting.contains(reply.name) && accept(reply.name, reply.bytes)) {
        waiting.erase(reply.name);
      }
    }
  }
  return {waiting.begin(), waiting.end()};
}

}  // namespace cornelhill
