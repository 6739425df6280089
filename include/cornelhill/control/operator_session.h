#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/millis.h"
#include "cornelhill/base/random.h"
#include "cornelhill/control/command.h"
#include "cornelhill/control/control_messages.h"
#include "cornelhill/control/control_state.h"

namespace cornelhill {

// Time after which a request without a response goes to the next control
// instance.
constexpr Millis kOperatorRetryDelay = Millis(2000);

// The requests of the operator's tool. `OperatorSession` adds the request ID
// and the operator's name.
OperatorRequest StatusRequest();
OperatorRequest ServicesRequest();
OperatorRequest UpstreamsRequest(const std::string& service);
OperatorRequest DrainRequest(InstanceId instance, bool draining);
OperatorRequest WeightRequest(InstanceId instance, uint32_t weight);
OperatorRequest ApplyRequest(Revision base, const Declaration& declaration);
OperatorRequest DeclarationRequest();
OperatorRequest HistoryRequest(uint32_t limit);
OperatorRequest MembersRequest();

// A request with the control instance to send it to.
struct AddressedOperatorRequest {
  Endpoint to;
  OperatorRequest request;
};

// One request of the operator's tool: keeps its ID over retries, so that a
// change whose response was lost is not made twice, and follows the leader.
// Not thread-safe.
class OperatorSession {
 public:
  // Requires at least one control endpoint. Sessions with equal seeds use equal
  // request IDs; the seed is drawn anew for each run of the tool.
  OperatorSession(const std::string& operator_name,
                  const std::vector<Endpoint>& control, uint64_t seed);

  // Begins a request. Replaces an earlier one.
  AddressedOperatorRequest Begin(Millis now, OperatorRequest request);

  // Returns what is to be sent again, where it is due.
  std::optional<AddressedOperatorRequest> OnTick(Millis now);
  Millis NextTick() const { return this->next_send; }

  // Returns the response where it is the final one to the present request.
  // After a redirect or `kCannotConfirm` the next `OnTick` tries elsewhere.
  std::optional<OperatorResponse> OnResponse(Millis now,
                                             const OperatorResponse& response);

 private:
  AddressedOperatorRequest Send(Millis now);

  std::string operator_name;
  std::vector<Endpoint> control;
  Random random;
  size_t next_control = 0;
  std::optional<Endpoint> leader;
  std::optional<OperatorRequest> pending;
  Millis next_send;
};

// What a control instance knows when it answers.
struct OperatorContext {
  const ControlState* state = nullptr;  // Not null.
  uint64_t term = 0;
  bool leading = false;
  // Whether a quorum has confirmed that this instance leads, after the request
  // arrived.
  bool confirmed = false;
  std::optional<Endpoint> leader;
  std::vector<MemberStatus> members;
  EffectReport report;
};

// Returns the refusal of an instance that does not lead or cannot confirm that
// it does, or nothing where it may answer.
std::optional<OperatorResponse> RefuseUnlessConfirmedLeader(
    const OperatorContext& context, const OperatorRequest& request);

// Returns the command of a request that changes something, for the log; nothing
// for one that reads.
std::optional<Command> ToCommand(const OperatorRequest& request);

// Answers a request that reads. Requires that `RefuseUnlessConfirmedLeader` has
// no refusal.
OperatorResponse AnswerRead(const OperatorContext& context,
                            const OperatorRequest& request);

// Answers a request that changes something with the response of the state.
OperatorResponse AnswerCommand(const OperatorContext& context,
                               const OperatorRequest& request,
                               const CommandResponse& response);

// Returns one line for each service that differs: "+name", "-name" or "~name".
std::vector<std::string> ListServiceChanges(const Declaration& before,
                                            const Declaration& after);

}  // namespace cornelhill
