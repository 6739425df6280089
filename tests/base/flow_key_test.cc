#include "cornelhill/base/flow_key.h"

#include <criterion/criterion.h>

#include <string>

namespace cornelhill {
namespace {

// Guards against a text form that parses to a different key, which would make
// `cornelhillctl why FLOW` look up the wrong flow.
Test(flow_key, text_form_round_trips) {
  const FlowKey key{{0x7f000001, 40000}, {0x7f000a01, 7001}, Protocol::kTcp};
  const Result<FlowKey> parsed = ParseFlowKey(ToString(key));
  cr_assert(parsed.has_value());
  cr_assert(parsed.value() == key);
}

// Guards against accepting an incomplete address, a port out of range or
// trailing text.
Test(flow_key, rejects_malformed_endpoints) {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                           "127.0.0.1:80x", "localhost:80", "1.2.3:4"}) {
    cr_assert_not(ParseEndpoint(text).has_value(), "%s was accepted", text);
  }
  const std::string zero(1, '\0');
  cr_assert_not(ParseEndpoint("127.0.0.1" + zero + "x:80").has_value());
}

// Guards against a bucket that depends on anything but the key: balancers and
// agents of different releases must compute the same bucket.
Test(flow_key, bucket_depends_on_the_key_alone) {
  const FlowKey key{{0x7f000001, 40000}, {0x7f000a01, 7001}, Protocol::kUdp};
  cr_assert_eq(BucketOf(key).Value(), HashFlow(key) % kBucketCount);
  cr_assert_eq(HashFlow(key), HashFlow(FlowKey(key)));
}

}  // namespace
}  // namespace cornelhill
