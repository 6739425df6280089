#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <utility>

#include "cornelhill/wire/data_codec.h"

namespace cornelhill {
namespace {

constexpr FlowKey kFlow{
    {0x7f000001, 40000}, {0x7f000a01, 7001}, Protocol::kUdp};

std::string Payload(const benchmark::State& state) {
  return std::string(static_cast<size_t>(state.range(0)), 'x');
}

CallerDatagram MakeDatagram(std::string payload) {
  CallerDatagram datagram;
  datagram.nonce = FlowNonce(0x1122334455667788);
  datagram.request = RequestNumber(3);
  datagram.first = true;
  datagram.deadline = Millis(250);
  datagram.payload = std::move(payload);
  return datagram;
}

DataMessage MakeForward(std::string payload) {
  Forward forward;
  forward.service = {ServiceId(7), Incarnation(2), Revision(190000)};
  forward.packet.flow = kFlow;
  forward.packet.nonce = FlowNonce(0x1122334455667788);
  forward.packet.request = RequestNumber(3);
  forward.packet.first = true;
  forward.packet.deadline = Millis(250);
  forward.balancer = {0x7f000101, 6000};
  forward.hops = 1;
  forward.load_milli = 1500;
  forward.target_incarnation = Incarnation(4);
  forward.payload = std::move(payload);
  return forward;
}

DataMessage MakeReturn(std::string payload) {
  Return answer;
  answer.flow = kFlow;
  answer.nonce = FlowNonce(0x1122334455667788);
  answer.request = RequestNumber(3);
  answer.payload = std::move(payload);
  return answer;
}

// Ignores the payload argument, as the message has no payload field.
DataMessage MakeOwnerHint(const std::string& /*payload*/) {
  return OwnerHint{kFlow, FlowNonce(5), ServiceId(7), InstanceId(9),
                   Endpoint{0x7f000201, 6100}};
}

DataMessage MakeOwnerReport(const std::string& /*payload*/) {
  return OwnerReport{kFlow, FlowNonce(5), ServiceId(7), true};
}

Encapsulated MakeEncapsulated(std::string payload) {
  return {kFlow, std::move(payload)};
}

void EncodeBench(benchmark::State& state, auto make) {
  const auto message = make(Payload(state));
  size_t size = 0;
  for (auto _ : state) {
    const std::string bytes = Encode(message);
    size = bytes.size();
    benchmark::DoNotOptimize(bytes.data());
  }
  state.counters["wire_bytes"] = static_cast<double>(size);
}

void DecodeBench(benchmark::State& state, auto make, auto decode) {
  const std::string bytes = Encode(make(Payload(state)));
  if (!decode(bytes).has_value()) {
    state.SkipWithError("the message does not decode");
  }
  for (auto _ : state) benchmark::DoNotOptimize(decode(bytes));
}

BENCHMARK_CAPTURE(EncodeBench, caller_datagram, MakeDatagram)
    ->Arg(64)
    ->Arg(1200);
BENCHMARK_CAPTURE(DecodeBench, caller_datagram, MakeDatagram,
                  DecodeCallerDatagram)
    ->Arg(64)
    ->Arg(1200);
BENCHMARK_CAPTURE(EncodeBench, encapsulated, MakeEncapsulated)
    ->Arg(64)
    ->Arg(1200);
BENCHMARK_CAPTURE(DecodeBench, encapsulated, MakeEncapsulated,
                  DecodeEncapsulated)
    ->Arg(64)
    ->Arg(1200);
BENCHMARK_CAPTURE(EncodeBench, forward, MakeForward)->Arg(64)->Arg(1200);
BENCHMARK_CAPTURE(DecodeBench, forward, MakeForward, DecodeDataMessage)
    ->Arg(64)
    ->Arg(1200);
BENCHMARK_CAPTURE(EncodeBench, return, MakeReturn)->Arg(64)->Arg(1200);
BENCHMARK_CAPTURE(DecodeBench, return, MakeReturn, DecodeDataMessage)
    ->Arg(64)
    ->Arg(1200);
BENCHMARK_CAPTURE(EncodeBench, owner_hint, MakeOwnerHint)->Arg(0);
BENCHMARK_CAPTURE(DecodeBench, owner_hint, MakeOwnerHint, DecodeDataMessage)
    ->Arg(0);
BENCHMARK_CAPTURE(EncodeBench, owner_report, MakeOwnerReport)->Arg(0);
BENCHMARK_CAPTURE(DecodeBench, owner_report, MakeOwnerReport, DecodeDataMessage)
    ->Arg(0);

}  // namespace
}  // namespace cornelhill

BENCHMARK_MAIN();
