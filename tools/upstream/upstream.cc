// Simulates an upstream behind an agent: runs the requested work and writes a
// report of it at exit.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "cornelhill/wire/data_codec.h"
#include "tools/common/net.h"
#include "tools/common/work.h"

ABSL_FLAG(std::string, address, "", "own address, IPV4:PORT");
ABSL_FLAG(std::string, service, "", "service that this upstream runs");
ABSL_FLAG(uint32_t, slots, 2, "requests that may run at the same time");
ABSL_FLAG(std::string, report, "", "file that the report is written to");
ABSL_FLAG(uint32_t, chunk_bytes, 900, "bytes of an answer packet");

namespace cornelhill {
namespace {

using boost::asio::ip::udp;
using ErrorCodeAsio = boost::system::error_code;

struct Counts {
  uint64_t executed = 0;
  uint64_t duplicated = 0;
  uint64_t misrouted = 0;
  uint64_t overcommitted = 0;
  uint64_t cancelled = 0;
  uint64_t malformed = 0;
};

// A request of which at least one packet has arrived.
struct Job {
  Work work;
  FlowKey flow;
  FlowNonce nonce;
  RequestNumber request;
  std::set<uint32_t> parts;
  uint32_t sent = 0;
  bool running = false;
  bool done = false;
  bool cancelled = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

class Upstream {
 public:
  Upstream(boost::asio::io_context& io, const Endpoint& address,
           std::string service, uint32_t slots)
      : io(io),
        socket(io, ToAsio(address)),
        service(std::move(service)),
        slots(slots) {}

  void Receive() {
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->agent,
        [this](const ErrorCodeAsio& error, size_t bytes) {
          if (error == boost::asio::error::operation_aborted) return;
          if (!error) this->OnPacket({this->buffer.data(), bytes});
          this->Receive();
        });
  }

  const Counts& Totals() const { return this->counts; }

 private:
  void OnPacket(std::string_view bytes) {
    const Result<Encapsulated> packet = DecodeEncapsulated(bytes);
    if (!packet.has_value()) return this->CountMalformed();
    const auto datagram = DecodeCallerDatagram(packet.value().payload);
    if (!datagram.has_value()) return this->CountMalformed();
    if (datagram.value().cancel) return this->Cancel(datagram.value());
    const Result<Work> work = DecodeWork(datagram.value().payload);
    if (!work.has_value()) return this->CountMalformed();
    if (work.value().service != this->service) {
      ++this->counts.misrouted;
      return;
    }
    auto& job = this->jobs[work.value().id];
    if (job == nullptr || (job->cancelled && datagram.value().first)) {
      job = std::make_unique<Job>();
      job->work = work.value();
      job->flow = packet.value().flow;
      job->nonce = datagram.value().nonce;
      job->request = datagram.value().request;
    } else if (datagram.value().first && work.value().parts == 1 &&
               !datagram.value().repeatable) {
      ++this->counts.duplicated;
      return;
    }
    job->parts.insert(work.value().part);
    if (job->done || job->running) {
      this->Resume(*job, work.value().resume_from);
    } else if (job->parts.size() == work.value().parts) {
      this->Run(*job);
    }
  }

  void CountMalformed() { ++this->counts.malformed; }

  void Run(Job& job) {
    job.running = true;
    ++this->running;
    if (this->running > this->slots) ++this->counts.overcommitted;
    if (!this->executed.insert(job.work.id).second) ++this->counts.duplicated;
    ++this->counts.executed;
    job.timer = std::make_unique<boost::asio::steady_timer>(this->io);
    this->ScheduleNextChunk(job);
  }

  void ScheduleNextChunk(Job& job) {
    const auto step = std::chrono::microseconds(job.work.duration.Count() *
                                                1000 / job.work.chunks);
    job.timer->expires_after(step);
    job.timer->async_wait([this, &job](const ErrorCodeAsio& error) {
      if (error || job.cancelled) return;
      this->SendChunk(job, job.sent);
      ++job.sent;
      if (job.sent < job.work.chunks) return this->ScheduleNextChunk(job);
      job.running = false;
      job.done = true;
      --this->running;
    });
  }

  void Resume(Job& job, uint32_t from) {
    constexpr uint32_t kMaxResent = 32;
    for (uint32_t i = from; i < std::min(job.sent, from + kMaxResent); ++i) {
      this->SendChunk(job, i);
    }
  }

  void Cancel(const CallerDatagram& datagram) {
    const auto found = std::find_if(
        this->jobs.begin(), this->jobs.end(), [&datagram](const auto& item) {
          return item.second->nonce == datagram.nonce &&
                 item.second->request == datagram.request;
        });
    if (found == this->jobs.end()) return;
    Job* job = found->second.get();
    if (job->done || job->cancelled) return;
    job->cancelled = true;
    ++this->counts.cancelled;
    if (!job->running) return;
    --this->running;
    job->running = false;
    job->timer->cancel();
    // Cancelled repeatable work may be run again.
    this->executed.erase(job->work.id);
    --this->counts.executed;
  }

  void SendChunk(const Job& job, uint32_t index) {
    CallerDatagram datagram;
    datagram.nonce = job.nonce;
    datagram.request = job.request;
    datagram.last = index + 1 == job.work.chunks;
    datagram.payload =
        EncodeChunk({this->service, job.work.id, index, job.work.chunks},
                    absl::GetFlag(FLAGS_chunk_bytes));
    const std::string encoded =
        Encode(Encapsulated{job.flow, Encode(datagram)});
    ErrorCodeAsio error;
    this->socket.send_to(boost::asio::buffer(encoded), this->agent, 0, error);
  }

  boost::asio::io_context& io;
  udp::socket socket;
  udp::endpoint agent;
  std::string service;
  uint32_t slots;
  uint32_t running = 0;
  std::array<char, kMaxDatagramBytes> buffer{};
  std::map<std::string, std::unique_ptr<Job>> jobs;
  std::set<std::string> executed;
  Counts counts;
};

void WriteReport(const Counts& counts, const std::string& path) {
  const nlohmann::json json = {
      {"executed", counts.executed},   {"duplicated", counts.duplicated},
      {"misrouted", counts.misrouted}, {"overcommitted", counts.overcommitted},
      {"cancelled", counts.cancelled}, {"malformed", counts.malformed}};
  if (path.empty()) {
    std::cout << json.dump() << "\n";
  } else {
    std::ofstream(path) << json.dump() << "\n";
  }
}

}  // namespace
}  // namespace cornelhill

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("simulates an upstream behind an agent");
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io;
  cornelhill::Upstream upstream(
      io,
      cornelhill::ParseEndpointOrExit("address", absl::GetFlag(FLAGS_address)),
      absl::GetFlag(FLAGS_service), absl::GetFlag(FLAGS_slots));
  upstream.Receive();
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  io.run();
  cornelhill::WriteReport(upstream.Totals(), absl::GetFlag(FLAGS_report));
  return 0;
}
