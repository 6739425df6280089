#include "cornelhill/control/founding_agreement.h"

#include <criterion/criterion.h>

namespace cornelhill {
namespace {

// Guards against a second group: the first seed founds one although another
// seed is a member, does not answer, or answered before it became a member.
Test(founding_agreement, all_other_seeds_must_agree_recently) {
  const std::vector<Endpoint> others = {{2, 7720}, {3, 7720}};
  FoundingAgreement agreement;
  cr_assert_not(agreement.AllAgree(Millis(0), {}), "a single seed");
  cr_assert_not(agreement.AllAgree(Millis(0), others));
  agreement.Note(Millis(100), others[0]);
  agreement.Note(Millis(100), {4, 7720});
  cr_assert_not(agreement.AllAgree(Millis(100), others));
  agreement.Note(Millis(600), others[1]);
  cr_assert(agreement.AllAgree(Millis(600), others));
  cr_assert(agreement.AllAgree(Millis(1099), others));
  cr_assert_not(agreement.AllAgree(Millis(1100), others));
}

}  // namespace
}  // namespace cornelhill
