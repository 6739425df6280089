#include <criterion/criterion.h>

#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"

namespace cornelhill {
namespace {

Command MakePutListeners(uint64_t version, const std::string& document,
                         const std::string& id = "") {
  return {id.empty() ? std::to_string(version) + document : id, "operator",
          PutListeners{version, document}};
}

// Guards against a document with a lower version, or another document with the
// same version, that replaces the one in effect.
Test(put_listeners, the_highest_version_is_in_effect) {
  ControlState state;
  cr_assert(state.Apply(Revision(1), MakePutListeners(7, "seven")).outcome ==
            CommandOutcome::kApplied);
  cr_assert(state.Apply(Revision(2), MakePutListeners(5, "five")).outcome ==
            CommandOutcome::kUnchanged);
  cr_assert(state.Apply(Revision(3), MakePutListeners(7, "other")).outcome ==
            CommandOutcome::kUnchanged);
  cr_assert_eq(state.Listeners().version, 7U);
  cr_assert_eq(state.Listeners().document, "seven");
  cr_assert(state.Apply(Revision(4), MakePutListeners(12, "twelve")).outcome ==
            CommandOutcome::kApplied);
  cr_assert_eq(state.Listeners().document, "twelve");
}

// Guards against a rejected retry, e.g. after the response was lost.
Test(put_listeners, retry_gets_the_same_outcome) {
  ControlState state;
  state.Apply(Revision(1), MakePutListeners(7, "seven"));
  state.Apply(Revision(2), MakePutListeners(8, "eight"));
  cr_assert(state.Apply(Revision(3), MakePutListeners(7, "seven")).outcome ==
            CommandOutcome::kApplied);
  cr_assert_eq(state.Listeners().version, 8U);
}

// Guards against a member that starts from a snapshot without the document.
Test(put_listeners, snapshot_preserves_the_document) {
  ControlState state;
  state.Apply(Revision(1), MakePutListeners(7, std::string("se\0ven", 6)));
  const ControlState restored = ControlState::Restore(state.Snapshot()).value();
  cr_assert_eq(restored.Listeners().version, 7U);
  cr_assert(restored.Listeners() == state.Listeners());
}

Test(put_listeners, commands_round_trip) {
  const Command command = MakePutListeners(9, std::string(1000, 'x'), "id");
  cr_assert(DecodeCommand(Encode(command)).value() == command);
  const Command large = MakePutListeners(
      9, std::string(kMaxListenerDocumentBytes + 1, 'x'), "id");
  cr_assert_not(DecodeCommand(Encode(large)).has_value());
}

}  // namespace
}  // namespace cornelhill
