#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace cornelhill {

// An integer that cannot be mixed up with an integer of another meaning. `Tag`
// is an incomplete type that names the meaning.
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

// Identifies a service for its whole life; never reused.
using ServiceId = StrongId<struct ServiceIdTag, uint32_t>;
// Counts the lives of a service or an instance: a higher one replaces a lower.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
// Index in the replicated log; orders every change of configuration.
using Revision = StrongId<struct RevisionTag, uint64_t>;
// Tells apart two uses of the same flow key.
using FlowNonce = StrongId<struct FlowNonceTag, uint64_t>;
// Numbers the requests of one flow.
using RequestNumber = StrongId<struct RequestNumberTag, uint32_t>;
// Identifies an instance that runs a process of the system.
using InstanceId = StrongId<struct InstanceIdTag, uint64_t>;
// Identifies a failure domain.
using FailureDomainId = StrongId<struct FailureDomainIdTag, uint32_t>;
// Identifies a caller for fair sharing; derived from its address.
using CallerId = StrongId<struct CallerIdTag, uint32_t>;
// Index of a bucket of a service's hash space.
using BucketIndex = StrongId<struct BucketIndexTag, uint16_t>;

}  // namespace cornelhill

template <typename Tag, typename Rep>
struct std::hash<cornelhill::StrongId<Tag, Rep>> {
  size_t operator()(const cornelhill::StrongId<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>()(id.Value());
  }
};
