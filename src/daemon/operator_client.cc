#include "cornelhill/daemon/operator_client.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <utility>

#include "cornelhill/control/control_codec.h"

namespace cornelhill {

namespace {

constexpr Millis kResendPeriod(500);

bool AnswersForTheGroup(const OperatorResponse& response) {
  return response.outcome != OperatorOutcome::kNotLeader &&
         response.outcome != OperatorOutcome::kCannotConfirm;
}

std::string Describe(const OperatorResponse& response) {
  if (!response.message.empty()) return response.message;
  return response.outcome == OperatorOutcome::kNotLeader ? "is not the leader"
                                                         : "cannot confirm";
}

}  // namespace

OperatorClient::OperatorClient(std::vector<Endpoint> control)
    : control(std::move(control)),
      node(NewRequestId(), {nullptr, [this](const std::string& member,
                                            const std::string& bytes) {
                              this->OnMessage(member, bytes);
                            }}) {}

Result<void> OperatorClient::Start() {
  for (const Endpoint& address : this->control) {
    BOOST_OUTCOME_TRY(this->node.Connect(ToString(address), address));
  }
  this->node.Start();
  return boost::outcome_v2::success();
}

void OperatorClient::OnMessage(const std::string& member,
                               const std::string& bytes) {
  Result<ControlMessage> message = DecodeControlMessage(bytes);
  if (!message.has_value()) return;
  auto* response = std::get_if<OperatorResponse>(&message.value());
  if (response == nullptr) return;
  const std::lock_guard lock(this->mutex);
  this->replies.push_back({member, std::move(*response)});
  this->arrived.notify_one();
}

std::deque<OperatorClient::Reply> OperatorClient::WaitForReplies(Millis until) {
  std::unique_lock lock(this->mutex);
  const Millis left = until - MonotonicNow();
  this->arrived.wait_for(
      lock, std::chrono::milliseconds(std::max<int64_t>(left.Count(), 0)),
      [this] { return !this->replies.empty(); });
  return std::exchange(this->replies, {});
}

Result<OperatorResponse> OperatorClient::Ask(const OperatorRequest& request,
                                             Millis timeout) {
  const std::string bytes = Encode(ControlMessage(request));
  const Millis end = MonotonicNow() + timeout;
  std::map<std::string, std::string> last_said;
  for (const Endpoint& address : this->control) {
    last_said[ToString(address)] = "did not answer";
  }
  while (MonotonicNow() < end) {
    for (const Endpoint& address : this->control) {
      this->node.Send(ToString(address), bytes);
    }
    const Millis resend = std::min(MonotonicNow() + kResendPeriod, end);
    while (MonotonicNow() < resend) {
      for (Reply& reply : this->WaitForReplies(resend)) {
        if (reply.response.request_id != request.request_id) continue;
        if (AnswersForTheGroup(reply.response)) {
          return std::move(reply.response);
        }
        last_said[reply.member] = Describe(reply.response);
      }
    }
  }
  std::string detail;
  for (const auto& [address, said] : last_said) {
    detail += detail.empty() ? "" : "; ";
    detail.append(address).append(" ").append(said);
  }
  return Error{ErrorCode::kUnavailable, "no control instance answered within " +
                                            std::to_string(timeout.Count()) +
                                            " ms: " + detail};
}

std::string NewRequestId() {
  std::random_device device;
  const uint64_t high = device();
  return std::to_string(getpid()) + "-" + std::to_string(high << 32 | device());
}

}  // namespace cornelhill
