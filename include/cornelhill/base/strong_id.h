#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace cornelhill {

// An integer type that does not convert to or from other identifier types.
// `Tag` is an incomplete type that distinguishes the instantiations.
template <typename Tag, typename Rep>
class StrongId {
 public:
  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep value) : raw(value) {}

  constexpr Rep Value() const { return this->raw; }
  constexpr auto operator<=>(const StrongId&) const = default;

 private:
  Rep raw{};
};

// Identifies a service. IDs are never reused.
using ServiceId = StrongId<struct ServiceIdTag, uint32_t>;
// Generation number of a service or an instance; a higher incarnation
// supersedes a lower one.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
// Index in the replicated log; totally orders configuration changes.
using Revision = StrongId<struct RevisionTag, uint64_t>;
// Distinguishes successive flows with the same flow key.
using FlowNonce = StrongId<struct FlowNonceTag, uint64_t>;
// Sequence number of a request within its flow.
using RequestNumber = StrongId<struct RequestNumberTag, uint32_t>;
// Identifies an instance that runs a process of the system.
using InstanceId = StrongId<struct InstanceIdTag, uint64_t>;
using FailureDomainId = StrongId<struct FailureDomainIdTag, uint32_t>;
// Identifies a caller for fair queueing; derived from its address.
using CallerId = StrongId<struct CallerIdTag, uint32_t>;
// Index of a bucket in a service's hash space.
using BucketIndex = StrongId<struct BucketIndexTag, uint16_t>;

}  // namespace cornelhill

template <typename Tag, typename Rep>
struct std::hash<cornelhill::StrongId<Tag, Rep>> {
  size_t operator()(const cornelhill::StrongId<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>()(id.Value());
  }
};
