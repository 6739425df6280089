// Simulates callers: opens flows to one service, each from its own socket,
// resends unanswered requests, checks every answer and prints one JSON object
// with the outcome of the flows.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/wire/data_codec.h"
#include "tools/common/net.h"
#include "tools/common/work.h"

ABSL_FLAG(std::string, service_address, "", "address to write to, IPV4:PORT");
ABSL_FLAG(std::string, service, "", "name of the service");
ABSL_FLAG(std::string, source, "127.0.100.1:0",
          "first source address; callers use it and those above it");
ABSL_FLAG(uint32_t, callers, 8, "number of source addresses");
ABSL_FLAG(uint32_t, flows, 100, "flows opened at the start");
ABSL_FLAG(uint32_t, requests, 1, "requests of each flow, one after another");
ABSL_FLAG(uint32_t, think_ms, 200, "mean pause between requests, in ms");
ABSL_FLAG(uint32_t, work_ms, 5, "mean slot time of a request, in ms");
ABSL_FLAG(uint32_t, chunks, 1, "packets of an answer");
ABSL_FLAG(uint32_t, parts, 1, "packets of a request");
ABSL_FLAG(bool, repeatable, false, "whether requests may be repeated");
ABSL_FLAG(uint32_t, resend_ms, 250, "pause before a resend, in ms");
ABSL_FLAG(uint32_t, timeout_ms, 30000,
          "time after which a flow counts as broken, in ms");
ABSL_FLAG(uint32_t, spread_ms, 500, "flows open within this time, in ms");
ABSL_FLAG(uint64_t, seed, 1, "seed");
ABSL_FLAG(std::string, report, "", "file that the report is written to");

namespace cornelhill {
namespace {

using boost::asio::ip::udp;
using ErrorCodeAsio = boost::system::error_code;

constexpr size_t kPartBytes = 900;
// Maximum attempts of a request that is refused with `not_run`.
constexpr uint32_t kMaxAttempts = 12;

struct Totals {
  uint64_t flows = 0;
  uint64_t served = 0;
  uint64_t broken = 0;
  uint64_t misrouted = 0;
  uint64_t crossed = 0;
  uint64_t not_run = 0;   // Requests given up after refusals.
  uint64_t refusals = 0;  // All refusals with `not_run`.
  uint64_t may_have_run = 0;
  uint64_t requests = 0;
  uint64_t resends = 0;
  std::vector<int64_t> latency_ms;
};

class CallerFlow {
 public:
  CallerFlow(boost::asio::io_context& io, const Endpoint& source,
             std::string name, Random random, Totals* totals)
      : socket(io, ToAsio(source)),
        timer(io),
        name(std::move(name)),
        random(random),
        totals(totals) {
    ++totals->flows;
    this->nonce = FlowNonce(this->random.Next());
  }

  void Start(Millis delay) {
    this->RunAfter(delay, [this] {
      this->Receive();
      this->NextRequest();
    });
  }

 private:
  template <typename Action>
  void RunAfter(Millis delay, Action action) {
    this->timer.expires_after(std::chrono::milliseconds(delay.Count()));
    // An expired timer cannot be cancelled: its handler may already be queued
    // behind the packet that makes it obsolete.
    const uint64_t generation = ++this->timer_generation;
    this->timer.async_wait(
        [this, action, generation](const ErrorCodeAsio& error) {
          if (!error && generation == this->timer_generation) action();
        });
  }

  void NextRequest() {
    if (this->done_requests == absl::GetFlag(FLAGS_requests)) {
      ++this->totals->served;
      return this->Close();
    }
    ++this->totals->requests;
    this->attempts = 0;
    this->work = Work();
    this->work.service = absl::GetFlag(FLAGS_service);
    this->work.duration =
        Millis(1 + static_cast<int64_t>(
                       this->random.Exponential(absl::GetFlag(FLAGS_work_ms))));
    this->work.chunks = absl::GetFlag(FLAGS_chunks);
    this->work.parts = absl::GetFlag(FLAGS_parts);
    this->started = MonotonicNow();
    this->StartAttempt();
  }

  void StartAttempt() {
    ++this->attempts;
    ++this->request;
    this->work.id = this->name + "/" + std::to_string(this->request);
    this->received.clear();
    this->SendAll(/*resent=*/false);
    this->ScheduleResend();
  }

  void SendAll(bool resent) {
    for (uint32_t part = 0; part < this->work.parts; ++part) {
      this->SendPart(part, resent);
    }
  }

  void SendPart(uint32_t part, bool resent) {
    CallerDatagram datagram;
    datagram.nonce = this->nonce;
    datagram.request = RequestNumber(this->request);
    datagram.first = part == 0 && this->received.empty();
    datagram.last = part + 1 == this->work.parts;
    datagram.repeatable = absl::GetFlag(FLAGS_repeatable);
    datagram.resent = resent;
    this->work.part = part;
    this->work.resume_from = this->FirstMissing();
    datagram.payload =
        EncodeWork(this->work, this->work.parts > 1 ? kPartBytes : 0);
    const std::string encoded = Encode(datagram);
    ErrorCodeAsio error;
    this->socket.send_to(
        boost::asio::buffer(encoded),
        ToAsio(ParseEndpointOrExit("service_address",
                                   absl::GetFlag(FLAGS_service_address))),
        0, error);
  }

  uint32_t FirstMissing() const {
    uint32_t index = 0;
    while (this->received.contains(index)) ++index;
    return index;
  }

  void ScheduleResend() {
    const auto base = static_cast<int64_t>(absl::GetFlag(FLAGS_resend_ms));
    const Millis delay(base + static_cast<int64_t>(this->random.Below(base)));
    this->RunAfter(delay, [this] {
      if (MonotonicNow() - this->started >
          Millis(absl::GetFlag(FLAGS_timeout_ms))) {
        return this->Abort("timeout");
      }
      ++this->totals->resends;
      this->SendAll(/*resent=*/true);
      this->ScheduleResend();
    });
  }

  void Receive() {
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->from,
        [this](const ErrorCodeAsio& error, size_t bytes) {
          if (error == boost::asio::error::operation_aborted) return;
          if (!error) this->OnPacket({this->buffer.data(), bytes});
          if (this->socket.is_open()) this->Receive();
        });
  }

  void OnPacket(std::string_view bytes) {
    const auto datagram = DecodeCallerDatagram(bytes);
    if (!datagram.has_value() || datagram.value().nonce != this->nonce) {
      ++this->totals->crossed;
      return;
    }
    // An answer to an earlier request, or a copy of one.
    if (datagram.value().request != RequestNumber(this->request)) return;
    if (datagram.value().refused) return this->OnRefusal(datagram.value());
    const Result<Chunk> chunk = DecodeChunk(datagram.value().payload);
    if (!chunk.has_value()) return;
    if (chunk.value().service != this->work.service) {
      ++this->totals->misrouted;
      return;
    }
    if (chunk.value().id != this->work.id) {
      ++this->totals->crossed;
      return;
    }
    this->received.insert(chunk.value().index);
    if (this->received.size() == this->work.chunks) this->OnComplete();
  }

  void OnRefusal(const CallerDatagram& datagram) {
    if (datagram.refusal.verdict != Verdict::kNotRun) {
      ++this->totals->may_have_run;
      return this->Abort(ToString(datagram.refusal.reason));
    }
    ++this->totals->refusals;
    if (this->attempts == kMaxAttempts) {
      ++this->totals->not_run;
      return this->Close();
    }
    const int64_t base =
        std::min<int64_t>(200 + datagram.refusal.retry_after.Count() / 4, 2000);
    this->RunAfter(
        Millis(base + static_cast<int64_t>(this->random.Below(base))),
        [this] { this->StartAttempt(); });
    // Copies of the refusal are ignored from now on.
    ++this->request;
  }

  void OnComplete() {
    this->totals->latency_ms.push_back(
        (MonotonicNow() - this->started).Count());
    ++this->done_requests;
    // Copies of the answer are ignored from now on.
    ++this->request;
    const auto pause = static_cast<int64_t>(
        this->random.Exponential(absl::GetFlag(FLAGS_think_ms)));
    this->RunAfter(Millis(pause), [this] { this->NextRequest(); });
  }

  void Abort(std::string_view reason) {
    ++this->totals->broken;
    std::cerr << "event=flow_broken flow=" << this->name
              << " caller=" << ToString(FromAsio(this->socket.local_endpoint()))
              << " request=" << this->request << " reason=" << reason
              << " received=" << this->received.size() << "/"
              << this->work.chunks << "\n";
    this->Close();
  }

  void Close() {
    ++this->timer_generation;
    this->timer.cancel();
    this->socket.close();
  }

  udp::socket socket;
  udp::endpoint from;
  boost::asio::steady_timer timer;
  std::string name;
  Random random;
  Totals* totals;
  FlowNonce nonce;
  uint64_t timer_generation = 0;  // Number of the latest use of `timer`.
  uint32_t request = 0;
  uint32_t done_requests = 0;
  uint32_t attempts = 0;
  Millis started;
  Work work;
  std::set<uint32_t> received;
  std::array<char, kMaxDatagramBytes> buffer{};
};

int64_t Percentile(std::vector<int64_t> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

nlohmann::json Report(const Totals& totals) {
  return {{"flows", totals.flows},
          {"served", totals.served},
          {"broken", totals.broken},
          {"misrouted", totals.misrouted},
          {"crossed", totals.crossed},
          {"not_run", totals.not_run},
          {"refusals", totals.refusals},
          {"may_have_run", totals.may_have_run},
          {"requests", totals.requests},
          {"resends", totals.resends},
          {"latency_p50_ms", Percentile(totals.latency_ms, 0.5)},
          {"latency_p99_ms", Percentile(totals.latency_ms, 0.99)}};
}

int Run() {
  boost::asio::io_context io;
  Totals totals;
  Random random(absl::GetFlag(FLAGS_seed));
  const Endpoint source =
      ParseEndpointOrExit("source", absl::GetFlag(FLAGS_source));
  std::vector<std::unique_ptr<CallerFlow>> flows;
  for (uint32_t i = 0; i < absl::GetFlag(FLAGS_flows); ++i) {
    Endpoint own = source;
    own.address += i % absl::GetFlag(FLAGS_callers);
    const std::string name = absl::GetFlag(FLAGS_service) + "-" +
                             std::to_string(absl::GetFlag(FLAGS_seed)) + "-" +
                             std::to_string(i);
    flows.push_back(std::make_unique<CallerFlow>(
        io, own, name, Random(random.Next()), &totals));
    flows.back()->Start(Millis(static_cast<int64_t>(
        random.Below(1 + absl::GetFlag(FLAGS_spread_ms)))));
  }
  io.run();
  const std::string report = Report(totals).dump();
  std::cout << report << "\n";
  if (const std::string path = absl::GetFlag(FLAGS_report); !path.empty()) {
    std::ofstream(path) << report << "\n";
  }
  return totals.broken + totals.misrouted + totals.crossed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("simulates callers of one service");
  absl::ParseCommandLine(argc, argv);
  return cornelhill::Run();
}
