#pragma once

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhill/base/flow_key.h"
#include "cornelhill/base/strong_id.h"
#include "cornelhill/base/verdict.h"
#include "cornelhill/observe/hybrid_clock.h"

namespace cornelhill {

// What happened. `docs/events.md` lists the names and their meaning. Values are
// sent in messages and never reused.
enum class EventKind : uint8_t {
  kFlowAccepted = 1,
  kFlowOffered,
  kFlowHandedBack,
  kFlowClosed,
  kFlowReset,
  kRequestQueued,
  kRequestDispatched,
  kRequestDemoted,
  kRequestCancelled,
  kRequestRetried,
  kRequestFinished,
  kRequestRefused,
  kAnswerResent,
  kPacketDropped,
  kHandoverSent,
  kHandoverApplied,
  kQuarantineStarted,
  kQuarantineEnded,
  kUpstreamJoined,
  kUpstreamDraining,
  kUpstreamLeft,
  kUpstreamReweighted,
  kLeaseExpired,
  kLeaseRenewed,
  kRevisionProposed,
  kRevisionCommitted,
  kRevisionApplied,
  kLeaderElected,
  kLeaderLost,
  kMemberChanged,
  kProcessStarted,
  kProcessStopping,
  kClockDriftRefused,
  kIncarnationReplaced,
};

// The group that an event's name belongs to.
enum class EventGroup : uint8_t {
  kFlow,
  kRequest,
  kBucket,
  kUpstream,
  kControl,
  kProcess,
};

struct EventKindInfo {
  EventKind kind;
  EventGroup group;
  std::string_view name;
  std::string_view meaning;
};

// All kinds, in the order of their values.
inline constexpr std::array kEventKinds = {
    EventKindInfo{EventKind::kFlowAccepted, EventGroup::kFlow, "flow_accepted",
                  "An agent became the owner of a new flow."},
    EventKindInfo{EventKind::kFlowOffered, EventGroup::kFlow, "flow_offered",
                  "The home agent passed a new flow to another candidate."},
    EventKindInfo{EventKind::kFlowHandedBack, EventGroup::kFlow,
                  "flow_handed_back",
                  "The other candidate returned the flow to the home agent."},
    EventKindInfo{EventKind::kFlowClosed, EventGroup::kFlow, "flow_closed",
                  "A flow ended as intended."},
    EventKindInfo{EventKind::kFlowReset, EventGroup::kFlow, "flow_reset",
                  "Caller or upstream aborted a flow."},
    EventKindInfo{EventKind::kRequestQueued, EventGroup::kRequest,
                  "request_queued", "A request started to wait for a slot."},
    EventKindInfo{EventKind::kRequestDispatched, EventGroup::kRequest,
                  "request_dispatched",
                  "A request got a slot and was passed to the upstream."},
    EventKindInfo{EventKind::kRequestDemoted, EventGroup::kRequest,
                  "request_demoted",
                  "A request exceeded the quantum and now counts as long."},
    EventKindInfo{EventKind::kRequestCancelled, EventGroup::kRequest,
                  "request_cancelled",
                  "A request was cancelled by its caller or by a rule."},
    EventKindInfo{EventKind::kRequestRetried, EventGroup::kRequest,
                  "request_retried",
                  "The home agent retried a request that had not run."},
    EventKindInfo{EventKind::kRequestFinished, EventGroup::kRequest,
                  "request_finished", "The answer to a request ended."},
    EventKindInfo{EventKind::kRequestRefused, EventGroup::kRequest,
                  "request_refused",
                  "A request ended with a refusal; detail gives verdict and "
                  "reason."},
    EventKindInfo{EventKind::kAnswerResent, EventGroup::kRequest,
                  "answer_resent",
                  "A retransmitted request got the stored answer again."},
    EventKindInfo{EventKind::kPacketDropped, EventGroup::kFlow,
                  "packet_dropped", "A packet was dropped; detail gives why."},
    EventKindInfo{EventKind::kHandoverSent, EventGroup::kBucket,
                  "handover_sent",
                  "The old home agent of a bucket sent its directory."},
    EventKindInfo{EventKind::kHandoverApplied, EventGroup::kBucket,
                  "handover_applied",
                  "The new home agent of a bucket took the directory over."},
    EventKindInfo{EventKind::kQuarantineStarted, EventGroup::kBucket,
                  "quarantine_started",
                  "A bucket without its old directory entered quarantine."},
    EventKindInfo{EventKind::kQuarantineEnded, EventGroup::kBucket,
                  "quarantine_ended", "A bucket left quarantine."},
    EventKindInfo{EventKind::kUpstreamJoined, EventGroup::kUpstream,
                  "upstream_joined", "An upstream joined its service."},
    EventKindInfo{EventKind::kUpstreamDraining, EventGroup::kUpstream,
                  "upstream_draining", "An upstream stopped taking new work."},
    EventKindInfo{EventKind::kUpstreamLeft, EventGroup::kUpstream,
                  "upstream_left", "An upstream left its service."},
    EventKindInfo{EventKind::kUpstreamReweighted, EventGroup::kUpstream,
                  "upstream_reweighted", "The weight of an upstream changed."},
    EventKindInfo{EventKind::kLeaseExpired, EventGroup::kUpstream,
                  "lease_expired", "The lease of an agent expired."},
    EventKindInfo{EventKind::kLeaseRenewed, EventGroup::kUpstream,
                  "lease_renewed",
                  "An agent renewed its lease after it had expired."},
    EventKindInfo{EventKind::kRevisionProposed, EventGroup::kControl,
                  "revision_proposed",
                  "The control leader appended a change to its log."},
    EventKindInfo{EventKind::kRevisionCommitted, EventGroup::kControl,
                  "revision_committed", "A quorum synced a change."},
    EventKindInfo{EventKind::kRevisionApplied, EventGroup::kControl,
                  "revision_applied", "A process put a revision into effect."},
    EventKindInfo{EventKind::kLeaderElected, EventGroup::kControl,
                  "leader_elected", "A control instance became leader."},
    EventKindInfo{EventKind::kLeaderLost, EventGroup::kControl, "leader_lost",
                  "A control instance stopped being leader."},
    EventKindInfo{EventKind::kMemberChanged, EventGroup::kControl,
                  "member_changed", "The voters of the log changed."},
    EventKindInfo{EventKind::kProcessStarted, EventGroup::kProcess,
                  "process_started", "A process started."},
    EventKindInfo{EventKind::kProcessStopping, EventGroup::kProcess,
                  "process_stopping", "A process began a graceful shutdown."},
    EventKindInfo{EventKind::kClockDriftRefused, EventGroup::kProcess,
                  "clock_drift_refused",
                  "A received clock was too far ahead and was not merged."},
    EventKindInfo{EventKind::kIncarnationReplaced, EventGroup::kUpstream,
                  "incarnation_replaced",
                  "An agent took a new incarnation after its lease had "
                  "expired."},
};

// Returns whether `value` is that of a kind. Thread-safe.
constexpr bool IsEventKind(uint32_t value) {
  return value >= 1 && value <= kEventKinds.size();
}

// Returns the description of a kind. Thread-safe.
constexpr const EventKindInfo& InfoOf(EventKind kind) {
  return kEventKinds[static_cast<size_t>(kind) - 1];
}

// Returns the kind of that name. Thread-safe.
std::optional<EventKind> ParseEventKind(std::string_view name);

// Short key=value text of an event. It takes numbers, enumerations, addresses
// and string literals only, so that a caller's payload cannot get into it. What
// exceeds `kMaxBytes` is cut off. Holds no heap memory.
class EventDetail {
 public:
  static constexpr size_t kMaxBytes = 79;

  // A string known at compile time.
  class Literal {
   public:
    template <size_t kSize>
    consteval Literal(const char (&text)[kSize])  // NOLINT: implicit by design
        : text(text, kSize - 1) {}
    constexpr std::string_view Text() const { return this->text; }

   private:
    std::string_view text;
  };

  EventDetail() = default;

  EventDetail& Add(Literal key, Literal value) {
    return this->Append(key.Text(), value.Text());
  }
  EventDetail& Add(Literal key, Verdict value) {
    return this->Append(key.Text(), ToString(value));
  }
  EventDetail& Add(Literal key, Reason value) {
    return this->Append(key.Text(), ToString(value));
  }
  EventDetail& Add(Literal key, const Endpoint& value) {
    return this->Append(key.Text(), ToString(value));
  }
  template <std::integral T>
  EventDetail& Add(Literal key, T value) {
    return this->Append(key.Text(), std::to_string(value));
  }

  std::string_view Text() const { return {this->text.data(), this->length}; }
  bool operator==(const EventDetail& other) const {
    return this->Text() == other.Text();
  }

  // Only for a decoder of events: takes text that another process's
  // `EventDetail` produced. Returns nothing where it is too long or has other
  // characters than printable ASCII.
  static std::optional<EventDetail> FromWire(std::string_view text);

 private:
  EventDetail& Append(std::string_view key, std::string_view value);

  std::array<char, kMaxBytes> text{};
  uint8_t length = 0;
};

// One event of the timeline. A field that does not apply keeps its default.
struct Event {
  HybridTime time;
  // Name of the process, e.g. "agent-3". `EventRing` sets it.
  std::string process;
  // Number of the event in its process's ring, from 1. `EventRing` sets it.
  uint64_t sequence = 0;
  EventKind kind = EventKind::kProcessStarted;
  FlowKey flow;
  FlowNonce nonce;
  ServiceId service;
  InstanceId upstream;
  Revision revision;
  EventDetail detail;

  bool operator==(const Event&) const = default;
};

// Selects events. A field without a value selects all; `from` and `to` are wall
// times of the event's clock, both inclusive.
struct EventFilter {
  std::optional<FlowKey> flow;
  std::optional<ServiceId> service;
  std::optional<InstanceId> upstream;
  std::optional<Revision> revision;
  std::optional<Millis> from;
  std::optional<Millis> to;

  bool operator==(const EventFilter&) const = default;
};

// Returns whether the filter selects the event. Thread-safe.
bool Matches(const EventFilter& filter, const Event& event);

}  // namespace cornelhill
