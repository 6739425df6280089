#include "cornelhill/control/founding_agreement.h"

#include <algorithm>

namespace cornelhill {

namespace {

// Five of the periods in which members ask to join.
constexpr Millis kAgreementLifetime{1000};

}  // namespace

void FoundingAgreement::Note(Millis now, const Endpoint& address) {
  this->last_noted[address] = now;
}

bool FoundingAgreement::AllAgree(Millis now,
                                 const std::vector<Endpoint>& others) const {
  return !others.empty() &&
         std::all_of(others.begin(), others.end(),
                     [this, now](const Endpoint& other) {
                       const auto found = this->last_noted.find(other);
                       return found != this->last_noted.end() &&
                              now - found->second < kAgreementLifetime;
                     });
}

}  // namespace cornelhill
