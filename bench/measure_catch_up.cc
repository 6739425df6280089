// Measures the bytes of the one update that brings a process up to date after
// it missed changes: a daemon with two of 20 services, and a relay with all.
// Beside it the whole state that a naive process fetches, and the missed log
// entries that it would replay.

#include <cstdint>
#include <cstdio>
#include <string>

#include "cornelhill/control/control_codec.h"
#include "cornelhill/control/control_state.h"
#include "tests/control/spread_cluster.h"

namespace {

using cornelhill::Command;
using cornelhill::ControlMessage;
using cornelhill::ControlState;
using cornelhill::Encode;
using cornelhill::Incarnation;
using cornelhill::InstanceId;
using cornelhill::PutDeclaration;
using cornelhill::Random;
using cornelhill::Revision;
using cornelhill::SpreadUpdate;
using cornelhill::StoreUpdate;
using cornelhill::Subscription;
using cornelhill::UpstreamJoin;
using cornelhill::UpstreamLeave;
using cornelhill::UpstreamWeight;
using cornelhill::fake::kServices;
using cornelhill::fake::SampleAnnouncement;
using cornelhill::fake::SampleDeclaration;

size_t BytesOf(const StoreUpdate& update) {
  SpreadUpdate message;
  message.sender = InstanceId(1);
  message.number = 1000;
  message.term = 1;
  message.update = update;
  return Encode(ControlMessage(message)).size();
}

void Measure(int missed, uint64_t seed) {
  Random random(seed);
  ControlState state;
  uint64_t revision = 0;
  size_t log_bytes = 0;
  const auto apply = [&](const Command& command) {
    log_bytes += Encode(command).size();
    state.Apply(Revision(++revision), command);
  };
  apply({"declare", "ana", PutDeclaration{{}, SampleDeclaration(0)}});
  for (uint64_t i = 0; i < kServices * 10; ++i) {
    apply({"join" + std::to_string(i), "",
           UpstreamJoin{SampleAnnouncement(1000 + i, 1)}});
  }
  const Revision from = state.CurrentRevision();
  log_bytes = 0;
  for (int i = 0; i < missed; ++i) {
    const std::string id = "c" + std::to_string(i);
    const uint64_t instance = 1000 + random.Below(kServices * 10);
    const uint64_t kind = random.Below(10);
    if (kind == 0) {
      apply({id, "ana",
             PutDeclaration{state.DeclarationChange().revision,
                            SampleDeclaration(static_cast<uint32_t>(i))}});
    } else if (kind <= 3) {
      apply(
          {id, "", UpstreamLeave{InstanceId(instance), Incarnation(revision)}});
    } else if (kind <= 6) {
      apply({id, "", UpstreamJoin{SampleAnnouncement(instance, revision)}});
    } else {
      apply(
          {id, "ana",
           UpstreamWeight{InstanceId(instance), static_cast<uint32_t>(1 + i)}});
    }
  }
  const Subscription two{false, {"service101", "service102"}, {}};
  const Subscription all{true, {}, {}};
  const StoreUpdate daemon = state.Store().UpdateSince(from, two);
  const StoreUpdate relay = state.Store().UpdateSince(from, all);
  std::printf(
      "measure=catch_up missed=%d seed=%lu services=%lu upstreams=%lu "
      "kind=%s daemon_bytes=%zu relay_bytes=%zu naive_whole_bytes=%zu "
      "naive_log_bytes=%zu\n",
      missed, seed, kServices, kServices * 10, daemon.whole ? "whole" : "delta",
      BytesOf(daemon), BytesOf(relay), BytesOf(state.Store().FullUpdate(all)),
      log_bytes);
}

}  // namespace

int main() {
  for (const int missed : {10, 100, 500, 2000}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) Measure(missed, seed);
  }
  return 0;
}
