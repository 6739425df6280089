#include "cornelhill/segment/upstream_capacity.h"

#include <algorithm>
#include <cmath>

namespace cornelhill {

namespace {

// Weight of one sample. About 30 requests decide the mean, so that it follows
// an upstream that becomes slow within a second under load.
constexpr double kSampleWeight = 1.0 / 16;
// Flows per slot before the first measurement.
constexpr double kInitialFlowsPerSlot = 2;
constexpr double kMaxFlowsPerSlot = 64;
// Keeps a slot occupied while the next flow is being admitted.
constexpr uint32_t kSpareFlows = 1;
// Deviations above the mean of a duration that few samples exceed.
constexpr double kHighEstimateDeviations = 2;
// The clock's resolution.
constexpr double kMinServiceMs = 1;

}  // namespace

void UpstreamCapacity::Mean::Add(Millis sample) {
  const auto value = static_cast<double>(sample.Count());
  if (!this->known) {
    this->mean = value;
    this->known = true;
    return;
  }
  const double difference = value - this->mean;
  this->mean += difference * kSampleWeight;
  this->deviation += (std::abs(difference) - this->deviation) * kSampleWeight;
}

double UpstreamCapacity::Mean::HighEstimate() const {
  return this->mean + kHighEstimateDeviations * this->deviation;
}

void UpstreamCapacity::OnRequestReceived(Millis preparation_time) {
  this->preparation.Add(preparation_time);
}

void UpstreamCapacity::OnAnswer(Millis service_time) {
  this->service.Add(service_time);
}

uint32_t UpstreamCapacity::Limit(uint32_t slots) const {
  double per_slot = kInitialFlowsPerSlot;
  if (this->preparation.known && this->service.known) {
    per_slot = 1 + this->preparation.mean /
                       std::max(this->service.mean, kMinServiceMs);
  }
  const double flows = std::ceil(slots * std::min(per_slot, kMaxFlowsPerSlot));
  return static_cast<uint32_t>(flows) + kSpareFlows;
}

Millis UpstreamCapacity::ResponseTime() const {
  return Millis(std::llround(this->preparation.HighEstimate() +
                             this->service.HighEstimate()));
}

Millis UpstreamCapacity::TimeToServe(uint32_t count, uint32_t slots) const {
  return Millis(std::llround(this->service.mean * count / slots));
}

}  // namespace cornelhill
