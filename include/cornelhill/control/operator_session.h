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

// Minimum delay before a request without a response is sent to the next control
// instance.
constexpr Millis kOperatorRetryDelay = Millis(2000);

// Requests of the operator's tool. `OperatorSession` adds the request ID and
// the operator's name.
OperatorRequest StatusRequest();
OperatorRequest ServicesRequest();
OperatorRequest UpstreamsRequest(const std::string& service);
OperatorRequest DrainRequest(InstanceId instance, bool draining);
OperatorRequest WeightRequest(InstanceId instance, uint32_t weight);
OperatorRequest ApplyRequest(Revision base, const Declaration& declaration);
OperatorRequest DeclarationRequest();
OperatorRequest HistoryRequest(uint32_t limit);
OperatorRequest MembersRequest();

// A request and the control instance to send it to.
struct AddressedOperatorRequest {
  Endpoint to;
  OperatorRequest request;
};

// Sends the requests of the operator's tool, one at a time. Retries keep the
// request ID, so that a change whose response was lost is not applied twice,
// and follow redirects to the leader. Not thread-safe.
class OperatorSession {
 public:
  // Requires at least one control endpoint. Sessions with equal seeds generate
  // equal request IDs, so each run of the tool needs a new random seed.
  OperatorSession(const std::string& operator_name,
                  const std::vector<Endpoint>& control, uint64_t seed);

  // Starts a request. Replaces an earlier one.
  AddressedOperatorRequest Begin(Millis now, OperatorRequest request);

  // Returns the request to send again if a retry is due.
  std::optional<AddressedOperatorRequest> OnTick(Millis now);
  Millis NextTick() const { return this->next_send; }

  // Returns the response if it is the final one to the current request. After a
  // redirect or `kCannotConfirm`, the next retry goes to another instance.
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

// State from which a control instance answers a request.
struct OperatorContext {
  const ControlState* state = nullptr;  // Not null.
  uint64_t term = 0;
  bool leading = false;
  // Whether a quorum has confirmed the leadership of this instance since the
  // request arrived.
  bool confirmed = false;
  std::optional<Endpoint> leader;
  std::vector<MemberStatus> members;
  EffectReport report;
};

// Returns a refusal if this instance does not lead or cannot confirm that it
// does, or nothing if it may answer.
std::optional<OperatorResponse> RefuseUnlessConfirmedLeader(
    const OperatorContext& context, const OperatorRequest& request);

// Returns the log command of a request that modifies state, or nothing for a
// read request.
std::optional<Command> ToCommand(const OperatorRequest& request);

// Answers a read request. Requires that `RefuseUnlessConfirmedLeader` returned
// nothing.
OperatorResponse AnswerRead(const OperatorContext& context,
                            const OperatorRequest& request);

// Answers a request that modifies state with the response of `ControlState`.
OperatorResponse AnswerCommand(const OperatorContext& context,
                               const OperatorRequest& request,
                               const CommandResponse& response);

// Returns one line for each service that differs, sorted by name: "+name",
// "-name" or "~name".
std::vector<std::string> ListServiceChanges(const Declaration& before,
                                            const Declaration& after);

}  // namespace cornelhill
